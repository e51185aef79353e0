"""The platform's store, kept in memory, and the origin of weights."""
import asyncio
import base64
import hashlib
import json
import time
from urllib.parse import parse_qs, urlsplit

import http1

PIECES, PIECE_BYTES, MODEL = 96, 24576, "model-a"


def piece(version, index):
    seed = hashlib.sha256(f"{version}/{index}".encode()).digest()
    return (seed * (PIECE_BYTES // len(seed) + 1))[:PIECE_BYTES]


class Store:
    """Rows by table, part and key. Serves on one address for each process, so that single processes can be turned away."""

    def __init__(self):
        self.rows, self.history, self.version = {}, [], 0
        self.changed = asyncio.Event()
        self.refuses = set()
        self.started = time.monotonic()
        self.acks = []

    def now_ms(self):
        return int((time.monotonic() - self.started) * 1000) + 50_000

    async def write(self, puts, removes=()):
        """Writes rows in one transaction and returns its version; the ack is the time of the return."""
        self.version += 1
        for table, part, key, value in puts:
            self.rows[table, part, key] = (value, self.version)
            self.history.append((self.version, table, part, key, value))
        for table, part, key in removes:
            self.rows.pop((table, part, key), None)
            self.history.append((self.version, table, part, key, None))
        changed, self.changed = self.changed, asyncio.Event()
        changed.set()
        await asyncio.sleep(0.004)
        return self.version

    async def put_json(self, table, key, document):
        return await self.write([(table, "", key, json.dumps(document).encode())])

    async def open(self, ip, port, name):
        return await http1.serve(lambda *it: self.handle(name, *it), ip, port)

    def page(self, rows, more=False):
        return json.dumps({"rows": rows, "hasMore": more, "ver": self.version, "nowMs": self.now_ms()}).encode()

    async def handle(self, name, head, body, writer):
        if name in self.refuses:
            writer.write(http1.response(503))
            return True
        method, target, _ = head.first.split()
        url = urlsplit(target)
        query = {key: value[0] for key, value in parse_qs(url.query, keep_blank_values=True).items()}
        call = url.path.rsplit("/", 1)[1]
        await asyncio.sleep(0.004)
        status, answer = 200, b"{}"
        if call == "rows-get":
            low, high = query.get("from", ""), query.get("to")
            found = [(key, row) for (table, part, key), row in sorted(self.rows.items())
                     if table == query["table"] and part == query.get("part", "") and key >= low and (not high or key < high)]
            limit = min(int(query.get("limit", 500)), 500)
            answer = self.page([self.encode(query["table"], query.get("part", ""), key, *row) for key, row in found[:limit]],
                               len(found) > limit)
        elif call == "rows-feed":
            since, table = int(query["sinceRev"]), query["table"]
            end = time.monotonic() + int(query.get("waitMs", 0)) / 1000

            def news():
                return [it for it in self.history if it[0] > since and it[1] == table]

            while not news() and (left := end - time.monotonic()) > 0:
                try:
                    await asyncio.wait_for(self.changed.wait(), left)
                except asyncio.TimeoutError:
                    break
            if name in self.refuses:
                writer.write(http1.response(503))
                return True
            answer = self.page([self.encode(it[1], it[2], it[3], it[4], it[0]) for it in news()])
        elif call == "rows-tx":
            request = json.loads(body)
            current = {(it["table"], it.get("part", ""), it["key"]): it["ver"] for it in request.get("expectRev", [])}
            fits = all(self.rows.get(key, (None, 0))[1] == ver for key, ver in current.items())
            if fits:
                puts = [(it["table"], it.get("part", ""), it["key"], base64.b64decode(it["value"])) for it in request.get("puts", [])]
                await self.write(puts, [(it["table"], it.get("part", ""), it["key"]) for it in request.get("remove", [])])
                answer = json.dumps({"ver": self.version, "nowMs": self.now_ms()}).encode()
            else:
                status, answer = 412, self.page([])
        else:
            status = 404
        writer.write(http1.response(status, answer, [("Content-Type", "application/json")]))
        return True

    @staticmethod
    def encode(table, part, key, value, version):
        row = {"table": table, "part": part, "key": key, "ver": version}
        if value is None:
            row["removed"] = True
        else:
            row["value"] = base64.b64encode(value).decode()
        return row


async def open_origin(ip, port, mbps=7.3):
    """Serves manifests and pieces at the given bandwidth, for all callers together."""
    line = asyncio.Lock()

    async def handle(head, body, writer):
        url = urlsplit(head.first.split()[1])
        query = {key: value[0] for key, value in parse_qs(url.query).items()}
        version = int(query.get("version", 1))
        if "/manifest/" in url.path:
            digests = [hashlib.sha256(piece(version, it)).hexdigest() for it in range(PIECES)]
            content = json.dumps({"model": MODEL, "version": version, "chunkBytes": PIECE_BYTES, "layers": 16, "digests": digests}).encode()
        else:
            content = piece(version, int(query["num"]))
        async with line:
            await asyncio.sleep(len(content) * 8 / (mbps * 1e6))
        writer.write(http1.response(200, content))
        return True

    return await http1.serve(handle, ip, port)
