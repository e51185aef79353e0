"""What the cases of this review share: the configuration of the site, its start, and the end of a case."""
import asyncio
import os
import sys
import traceback

import site3

ENGINE = {"slots": 16, "kvCap": 317000, "stride": 5, "models": [{"name": "model-a", "pace": 1.0, "loadS": 4.0, "warmS": 0.3}],
          "step_ms": 9.27, "per_seq_ms": 0.0232, "context_per_k": 0.0322, "read_per_s": 20700.0, "pairs_per_m": 1.18, "chunk": 2048,
          "usual": {"prompt": 979, "answer": 92}, "layers": 16, "chunks": 96, "chunkBytes": 24576}


def route(name, kind, service, **other):
    fields = {"name": name, "host": "shop.example", "prefix": f"/{name}/", "kind": kind, "service": service, "timeoutMs": 3000,
              "sloMs": 300, "prio": 2, "maxAttempts": 2, "public": False}
    if kind == "stream":
        fields |= {"timeoutMs": 6000, "sloMs": 500, "prio": 1, "sticky": True, "resumable": True, "gapAimMs": 400}
    return fields | other


def services(site):
    return [{"name": "orders", "healthPath": "/healthz", "maxConns": 110}, {"name": "pool", "healthPath": "/healthz", "maxConns": 274, "engine": ENGINE},
            {"name": "weights", "origin": f"127.0.0.1:{site.ports['origin']}", "zone": "a", "maxConns": 48}]


async def start(net, routes, tenants, entries="ab", orders="ab", models="", order_options=None, **model_options):
    """Starts a site and waits until it serves. Each letter of `entries`, `orders` and `models` is the zone of one of them."""
    site = site3.Site(net)
    try:
        await site.start_platform()
        for index, zone in enumerate(orders):
            site.start_replica(f"o-{index}", zone, "orders", "plain", **(order_options or {}))
        for index, zone in enumerate(models):
            site.start_replica(f"m-{index}", zone, "pool", "model", agent=True, stream=True, **model_options)
        await site.configure(routes, services(site), tenants)
        for index, zone in enumerate(entries):
            await site.start_entry(index, zone)
        await site.wait_ready()
        await asyncio.sleep(2.5)
    except BaseException:
        site.stop()
        raise
    return site


def main(folder, case):
    """Runs `case(has_trouble)`, which returns the site and what broke the rule, and exits as the review asks."""
    has_trouble = os.environ.get("TROUBLE", "1") != "0"
    loop = asyncio.new_event_loop()
    try:
        site, broken = loop.run_until_complete(asyncio.wait_for(case(has_trouble), 105))
        verdict = "The rule held." if not broken else "The rule was broken:\n" + "\n".join(broken)
        site.write_record(folder, verdict)
        print(verdict)
        status = 1 if broken else 0
    except BaseException:
        traceback.print_exc()
        status = 2
    # All processes have ended; tasks of the stand-ins that still wait for them need not.
    sys.stdout.flush()
    sys.stderr.flush()
    os._exit(status)
