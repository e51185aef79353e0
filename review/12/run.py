"""A key moves to another tenant while the store turns the entries away; see claim.txt."""
import asyncio
import sys
import time
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / "standins-3"))
import cases

REVOKE_S, OUTAGE_S = 5.0, 8.5


def tenants(first, second):
    return [{"name": "dealer", "apiKeys": first, "prio": 1}, {"name": "chain", "apiKeys": second, "prio": 1}]


async def case(has_trouble):
    routes = [cases.route("sheet", "idempotent", "orders", public=True), cases.route("order", "non_idempotent", "orders")]
    site = await cases.start(92, routes, tenants(["key-1", "key-2"], ["key-3"]), models="abca")
    try:
        return site, await play(site, routes, has_trouble)
    finally:
        site.stop()


async def play(site, routes, has_trouble):
    outage_began = time.monotonic()
    if has_trouble:
        site.store.refuses |= {"edge-0", "edge-1"}
        site.note("the store answers edge-0 and edge-1 with 503")
    await asyncio.sleep(0.3)
    await site.configure(routes, cases.services(site), tenants(["key-2"], ["key-3", "key-1"]))
    acknowledged = time.monotonic()
    sent = {}
    while time.monotonic() < outage_began + OUTAGE_S:
        for entry in (0, 1):
            for name, method in (("sheet", "GET"), ("order", "POST")):
                request_id = f"{name}-{entry}-{len(sent)}"
                sent[request_id] = time.monotonic() - acknowledged
                answer = await site.request(entry, method, f"/{name}/1", request_id, "key-1")
                site.note(f"{request_id} at edge-{entry}, sent {sent[request_id]:.2f} s after the ack: {answer.status} {answer.end}")
        await asyncio.sleep(0.4)
    site.store.refuses.clear()
    wrong = [it for it in site.runs() if it["event"] == "run" and sent[it["id"]] > REVOKE_S and it["tenant"] not in (None, "chain")]
    return [f"{it['id']} ran with Tenant {it['tenant']}, sent {sent[it['id']]:.2f} s after the ack that gave its key to chain" for it in wrong]


cases.main(FOLDER, case)
