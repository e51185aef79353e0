"""A replica of a plain service runs orders and answers some of them with 503, without saying that they have not run."""

import os
import sys

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(FOLDER, "..", "standins-2"))

import deployment  # noqa: E402

ORDERS = 60
# Part of its requests that the replica fails: every second or third one, four in ten.
FAILED = {1, 4, 6, 9}


async def case(site, trouble):
    site.configure()
    replicas = [await site.add_replica(index, "orders", zone) for index, zone in zip((10, 11, 12), deployment.REGIONS)]
    failing, received = replicas[0], [0]

    async def hook(_, request, reader, writer):
        if not request.path.startswith("/order/"):
            return None
        received[0] += 1
        if not trouble or received[0] % 10 not in FAILED:
            return None
        failing.run(request)
        site.log(f"{failing.id} fails {request.header('request-id')} at its end: 503 without Not-Executed")
        return deployment.encode_response(503, failing.answer_headers(request), b"the order could not be completed\n")

    failing.hook = hook
    await site.start_process("entry", "edge-1", 1, "mtl-a")
    await site.start_process("entry", "edge-2", 2, "qc-a")
    await site.wait_ready(1)
    await site.wait_ready(2)
    untrue = []
    for number in range(ORDERS):
        answer = await site.call(1 + number % 2, "POST", f"/order/{number}", body=b"two turnouts")
        runs = sum(it.runs.get(answer.id, 0) for it in replicas)
        if answer.status in (408, 421, 429, 503) and runs:
            untrue.append(answer.id)
            site.log(f"{answer.id} has run, and its caller was told {answer.status}: not run, and never will be")
    site.log(f"{ORDERS} orders, {len(untrue)} of them answered as not run although they had")
    if sum(len(it.runs) for it in replicas) < ORDERS / 2:
        raise deployment.CannotRun("too few orders have run")
    return not untrue


deployment.main(FOLDER, case)
