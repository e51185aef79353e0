"""Stand-ins for a small deployment: store, replicas, origin of weights and clients, and the real processes.

Everything listens on loopback addresses. Each stand-in follows PROTOCOL.md; a case changes the behaviour of single
calls through the `hook` of a stand-in.
"""

import asyncio
import base64
import hashlib
import json
import os
import random
import shutil
import signal
import socket
import sys
import tempfile
import time
import urllib.parse

ROOT = os.path.abspath(os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", ".."))
PROGRAM = os.path.join(ROOT, "target", "release", "fulmarline")
CANNOT_RUN = 2


class Request:
    """A request that was read completely."""

    def __init__(self, method, target, headers, body):
        self.method, self.target, self.headers, self.body = method, target, headers, body
        self.path, _, query = target.partition("?")
        self.query = dict(urllib.parse.parse_qsl(query, keep_blank_values=True))

    def header(self, name):
        return next((value for key, value in self.headers if key == name), None)


async def read_head(reader):
    """Returns the first line and the headers with lower-case names, or None at the end of the connection."""
    try:
        head = await reader.readuntil(b"\r\n\r\n")
    except (asyncio.IncompleteReadError, ConnectionError):
        return None
    lines = head.decode("latin-1").split("\r\n")
    headers = []
    for line in lines[1:]:
        if line:
            name, _, value = line.partition(":")
            headers.append((name.strip().lower(), value.strip()))
    return lines[0], headers


async def read_chunks(reader):
    body = b""
    while True:
        size = int((await reader.readuntil(b"\r\n")).split(b";")[0], 16)
        if size == 0:
            await reader.readuntil(b"\r\n")
            return body
        body += await reader.readexactly(size)
        await reader.readexactly(2)


async def read_request(reader):
    head = await read_head(reader)
    if head is None:
        return None
    line, headers = head
    method, target, _ = line.split(" ", 2)
    fields = dict(headers)
    body = b""
    if fields.get("transfer-encoding", "").lower() == "chunked":
        body = await read_chunks(reader)
    elif "content-length" in fields:
        body = await reader.readexactly(int(fields["content-length"]))
    return Request(method, target, headers, body)


def encode_response(status, headers=(), body=b""):
    lines = [f"HTTP/1.1 {status} {'OK' if status < 400 else 'Error'}"]
    lines += [f"{name}: {value}" for name, value in headers]
    lines.append(f"Content-Length: {len(body)}")
    return "\r\n".join(lines).encode() + b"\r\n\r\n" + body


class HttpStandin:
    """Serves requests one after the other on each connection."""

    def __init__(self, site, address):
        self.site, self.address, self.server = site, address, None
        self.writers = set()

    async def start(self):
        self.server = await asyncio.start_server(self.serve, *self.address, limit=1 << 22)

    async def stop(self):
        """Ends like a process that is killed."""
        self.server.close()
        for writer in list(self.writers):
            writer.transport.abort()

    async def serve(self, reader, writer):
        self.writers.add(writer)
        try:
            while True:
                request = await read_request(reader)
                if request is None:
                    break
                response = await self.answer(request, reader, writer)
                if response is None:
                    break
                writer.write(response)
                await writer.drain()
        except (ConnectionError, asyncio.IncompleteReadError, asyncio.CancelledError):
            pass
        finally:
            self.writers.discard(writer)
            writer.close()


def json_response(status, value):
    return encode_response(status, [("Content-Type", "application/json")], json.dumps(value).encode())


class Store(HttpStandin):
    """The platform's store: rows with one counter of versions, and their feed."""

    def __init__(self, site, address):
        super().__init__(site, address)
        self.rows, self.version, self.history = {}, 0, []
        self.changed = asyncio.Event()
        self.hook = None

    def now_ms(self):
        return int(time.monotonic() * 1000)

    def put(self, table, key, value):
        """Writes a row as the operator or a replica does; returns the time of the acknowledgement."""
        data = None if value is None else json.dumps(value).encode()
        self.write([(table, key, data)])
        return time.monotonic()

    def write(self, rows):
        self.version += 1
        for table, key, data in rows:
            if data is None:
                self.rows.pop((table, key), None)
            else:
                self.rows[table, key] = (self.version, data)
            self.history.append((self.version, table, key, data))
        self.changed.set()
        self.changed = asyncio.Event()

    def wire_row(self, table, key, version, data):
        row = {"table": table, "part": "", "key": key, "ver": version}
        row.update({"removed": True} if data is None else {"value": base64.b64encode(data).decode()})
        return row

    def page(self, rows):
        return json_response(200, {"rows": rows, "hasMore": False, "ver": self.version, "nowMs": self.now_ms()})

    async def answer(self, request, reader, writer):
        if self.hook is not None:
            replaced = await self.hook(request)
            if replaced is not None:
                return replaced
        await asyncio.sleep(0.004)
        query = request.query
        if request.path == "/fulmarline/rows-get":
            low, high = query.get("from", ""), query.get("to")
            rows = sorted((key, it) for (table, key), it in self.rows.items() if table == query["table"])
            rows = [(key, it) for key, it in rows if key >= low and (not high or key < high)]
            return self.page([self.wire_row(query["table"], key, *it) for key, it in rows])
        if request.path == "/fulmarline/rows-feed":
            since, end = int(query["sinceRev"]), time.monotonic() + int(query.get("waitMs", "0")) / 1000
            while True:
                changed = self.changed
                rows = [it for it in self.history if it[0] > since and it[1] == query["table"]]
                left = end - time.monotonic()
                if rows or left <= 0:
                    return self.page([self.wire_row(table, key, ver, data) for ver, table, key, data in rows])
                try:
                    await asyncio.wait_for(changed.wait(), left)
                except asyncio.TimeoutError:
                    pass
        if request.path == "/fulmarline/rows-tx":
            body = json.loads(request.body)
            for expected in body.get("expectRev", []):
                current = self.rows.get((expected["table"], expected["key"]))
                if (current[0] if current else 0) != expected["ver"]:
                    return json_response(412, {"rows": []})
            rows = [(it["table"], it["key"], base64.b64decode(it["value"])) for it in body.get("puts", [])]
            rows += [(it["table"], it["key"], None) for it in body.get("remove", [])]
            self.write(rows)
            return json_response(200, {"ver": self.version, "nowMs": self.now_ms()})
        return encode_response(404)


class Origin(HttpStandin):
    """The origin of weights."""

    def __init__(self, site, address, pieces, piece_bytes):
        super().__init__(site, address)
        self.pieces, self.piece_bytes = pieces, piece_bytes
        self.link, self.newest, self.digests = asyncio.Lock(), 1, {}

    def piece(self, version, index):
        return random.Random(f"{version}/{index}").randbytes(self.piece_bytes)

    def digest(self, version, index):
        if (version, index) not in self.digests:
            self.digests[version, index] = hashlib.sha256(self.piece(version, index)).hexdigest()
        return self.digests[version, index]

    async def answer(self, request, reader, writer):
        version = int(request.query.get("version", "1"))
        model = request.path.rsplit("/", 1)[1]
        if version <= self.newest - 2:
            return encode_response(410)
        if request.path.startswith("/fulmarline/manifest/"):
            digests = [self.digest(version, index) for index in range(self.pieces)]
            return json_response(200, {"model": model, "version": version, "chunkBytes": self.piece_bytes,
                                       "layers": 16, "digests": digests})
        if request.path.startswith("/fulmarline/piece/"):
            # The origin's link carries 7.3 Mbit/s for all agents together.
            async with self.link:
                await asyncio.sleep(self.piece_bytes * 8 / 7.3e6)
            return encode_response(200, body=self.piece(version, int(request.query["num"])))
        return encode_response(404)


class Replica(HttpStandin):
    """A replica of a plain service, or of a model if it has a version of the weights."""

    def __init__(self, site, address, replica_id, service, zone, version=None):
        super().__init__(site, address)
        self.id, self.service, self.zone, self.version = replica_id, service, zone, version
        self.state, self.seq, self.busy = "ready", 0, False
        self.born = int(time.time() * 1000)
        self.staged = {}
        if version is not None:
            self.staged = {index: site.origin.piece(version, index) for index in range(site.origin.pieces)}
        self.runs, self.received, self.loads = {}, [], []
        # Pieces of which the loaded weights consist, by their origin; and requests whose tokens were made with them.
        self.pieces, self.mixed_runs = {f"version {version}": site.origin.pieces}, []
        self.hook = None

    def row(self):
        row = {"service": self.service, "addr": "%s:%d" % self.address, "zone": self.zone, "version": "v1",
               "slots": 16, "state": self.state, "coldLeftMs": 0, "seq": self.seq, "born": self.born}
        if self.version is not None:
            row["models"] = [{"name": "m", "version": self.version, "adapters": []}] if self.version else []
            row["layers"] = {"from": 0, "to": 16 if self.version else 0, "version": self.version}
        return row

    def register(self):
        return self.site.store.put("servers", self.id, self.row())

    def report(self):
        row = self.row()
        return {"stage": "colocated", "models": row.get("models", []), "layers": row.get("layers"),
                "busy": self.busy, "seq": self.seq, "queued": 0, "inflight": 0, "kvUsed": 0, "kvTotal": 317000,
                "handles": 0, "born": self.born}

    def accept_order(self, order):
        """Accepts an order to load; loads what is staged at this moment."""
        if self.busy or order.get("expectRev") not in (None, self.seq):
            self.site.log(f"{self.id} rejects order of version {order['version']}: 409")
            return encode_response(409)
        if order["version"] == self.version:
            return encode_response(200)
        origin, version = self.site.origin, order["version"]
        counts = {}
        for index in range(origin.pieces):
            digest = hashlib.sha256(self.staged.get(index, b"")).hexdigest()
            known = [it for it in range(1, origin.newest + 1) if digest == origin.digest(it, index)]
            name = f"version {known[0]}" if known else "missing or spoilt"
            counts[name] = counts.get(name, 0) + 1
        self.loads.append((version, counts))
        self.site.log(f"{self.id} accepts order of version {version}; staged pieces: {counts}")
        self.seq, self.busy = self.seq + 1, True
        asyncio.get_running_loop().call_later(0.3, self.finish_load, version, counts)
        return encode_response(202)

    def finish_load(self, version, pieces):
        self.busy, self.version, self.pieces = False, version, pieces
        self.register()

    def answer_headers(self, request):
        return [("Request-Id", request.header("request-id")), ("Route-Stamp", f"stamp.{self.id}")]

    def run(self, request):
        request_id = request.header("request-id")
        self.runs[request_id] = self.runs.get(request_id, 0) + 1
        self.site.log(f"{self.id} runs {request_id} ({request.method} {request.target})")

    async def answer(self, request, reader, writer):
        if self.hook is not None:
            replaced = await self.hook(self, request, reader, writer)
            if replaced is not None:
                return replaced
        if request.path == "/fulmarline/report":
            return json_response(200, self.report())
        if request.path == "/fulmarline/order":
            return self.accept_order(json.loads(request.body))
        if request.path.startswith("/fulmarline/stage-put/"):
            self.staged[int(request.query["num"])] = request.body
            return encode_response(200)
        if request.path.startswith("/fulmarline/stage-get/"):
            piece = self.staged.get(int(request.query["num"]))
            return encode_response(404) if piece is None else encode_response(200, body=piece)
        if request.path == "/healthz":
            return encode_response(200, [("Replica-Id", self.id)])
        self.received.append((time.monotonic(), request))
        expected, version = request.header("expect-replica"), request.header("expect-version")
        if expected not in (None, self.id) or version not in (None, str(self.version)):
            return encode_response(421, [("Replica-Id", self.id)])
        if self.version == 0 or self.busy:
            return encode_response(503, [("Not-Executed", "1"), ("Request-Id", request.header("request-id"))])
        self.run(request)
        if self.version is None:
            return encode_response(200, self.answer_headers(request), f"done {request.header('request-id')}".encode())
        await self.stream(request, writer)
        return b""

    async def stream(self, request, writer, events=14, pause=0.02):
        first = int(request.header("last-event-id") or 0) + 1
        if set(self.pieces) != {f"version {self.version}"}:
            self.mixed_runs.append(request.header("request-id"))
            self.site.log(f"{self.id} makes tokens of {self.mixed_runs[-1]} as version {self.version}, with pieces {self.pieces}")
        head = ["HTTP/1.1 200 OK", "Content-Type: text/event-stream", "Transfer-Encoding: chunked"]
        head += [f"{name}: {value}" for name, value in self.answer_headers(request)]
        head.append(f"Weight-Versions: {self.version}")
        writer.write("\r\n".join(head).encode() + b"\r\n\r\n")
        for number in range(first, events + 1):
            event = f"id: {number}\ndata: {request.header('request-id')}/{number}\n\n".encode()
            writer.write(b"%x\r\n%s\r\n" % (len(event), event))
            await writer.drain()
            await asyncio.sleep(pause)
        writer.write(b"0\r\n\r\n")


class Answer:
    def __init__(self, status, headers, body, complete):
        self.status, self.headers, self.body, self.complete = status, headers, body, complete

    def header(self, name):
        return next((value for key, value in self.headers if key == name), None)

    def __str__(self):
        return f"{self.status} {self.body[:60]!r}" + ("" if self.complete else " (not complete)")


async def read_answer(reader):
    head = await read_head(reader)
    if head is None:
        return Answer("closed", [], b"", False)
    line, headers = head
    status, fields = int(line.split(" ")[1]), dict(headers)
    try:
        if fields.get("transfer-encoding") == "chunked":
            body = await read_chunks(reader)
        elif "content-length" in fields:
            body = await reader.readexactly(int(fields["content-length"]))
        else:
            body = await reader.read()
    except (asyncio.IncompleteReadError, ConnectionError) as err:
        return Answer(status, headers, getattr(err, "partial", b""), False)
    return Answer(status, headers, body, True)


class Site:
    """The stand-ins, the processes of the system and the record of a case."""

    def __init__(self, folder, pieces=96, piece_bytes=24576):
        self.folder, self.began = folder, time.monotonic()
        self.record = open(os.path.join(folder, "record.txt"), "w", encoding="utf-8")
        self.dir = tempfile.mkdtemp(prefix="fulmarline-case-")
        self.processes, self.replicas, self.sent = {}, [], 0
        self.net = random.randrange(20, 200)
        ports = free_ports(self.net, 6)
        self.first_port, self.front, self.ready, self.directory, self.last_port, self.app = ports
        self.store = Store(self, (self.ip(250), self.app))
        self.origin = Origin(self, (self.ip(251), self.app), pieces, piece_bytes)
        self.config_version, self.keys = 0, ["key-1"]

    def ip(self, index):
        return f"127.{self.net}.1.{index}"

    def log(self, text):
        self.record.write(f"{time.monotonic() - self.began:8.3f}  {text}\n")
        self.record.flush()

    async def start(self):
        await self.store.start()
        await self.origin.start()

    async def add_replica(self, index, service, zone, version=None):
        replica = Replica(self, (self.ip(index), self.app), f"i-{index:04d}", service, zone, version)
        await replica.start()
        replica.register()
        self.replicas.append(replica)
        return replica

    def configure(self, extra_routes=(), keys=None, limits=None):
        """Writes the next configuration; returns the time of its acknowledgement."""
        self.config_version += 3
        self.keys = self.keys if keys is None else keys

        def route(prefix, kind, service, timeout, slo):
            return {"name": prefix, "host": "shop.example", "prefix": prefix, "kind": kind, "timeoutMs": timeout,
                    "sloMs": slo, "prio": 1, "service": service, "maxAttempts": 2, "public": False,
                    "sticky": kind == "stream", "resumable": kind == "stream", "gapAimMs": 400}

        routes = [route("/draft/", "stream", "pool", 6000, 500), route("/order/", "non_idempotent", "orders", 3000, 300),
                  route("/lookup/", "idempotent", "orders", 3000, 300), *extra_routes]
        engine = {"slots": 16, "kvCap": 317000, "kvTokenBytes": 262144, "stride": 5,
                  "models": [{"name": "m", "pace": 1.0, "loadS": 4.0, "warmS": 0.3}], "mb": 149000.0,
                  "step_ms": 9.27, "per_seq_ms": 0.0232, "context_per_k": 0.0322, "read_per_s": 20700.0,
                  "pairs_per_m": 1.18, "chunk": 2048, "report_lag_ms": 200.0, "usual": {"prompt": 979, "answer": 92},
                  "layers": 16, "layer_mb": 4090.0, "act_bytes": 16384, "chunks": self.origin.pieces,
                  "chunkBytes": self.origin.piece_bytes}
        services = [{"name": "pool", "healthPath": "/healthz", "maxConns": 274, "proto": "h1", "tls": False, "engine": engine},
                    {"name": "orders", "healthPath": "/healthz", "maxConns": 110, "proto": "h1", "tls": False},
                    {"name": "weights", "origin": "%s:%d" % self.origin.address, "zone": "mtl-a", "linkMbps": 7.3,
                     "maxConns": 48}]
        limits = limits or {"maxHeaderBytes": 16384, "maxBodyBytes": 4194304, "headerTimeoutMs": 3000, "idleTimeoutMs": 15000}
        value = {"version": self.config_version, "routes": routes, "services": services, "limits": limits,
                 "tenants": [{"name": "bozi300", "apiKeys": self.keys}]}
        self.log(f"configuration {self.config_version}, keys {self.keys}")
        return self.store.put("op", "config", value)

    def declare(self, version):
        self.log(f"version {version} of the weights is named")
        self.origin.newest = version
        return self.store.put("op", "version/m", {"model": "m", "version": version})

    def settings(self, name, index, zone, side=None):
        ip = self.ip(index)
        serves = '["side"]' if side else '["edge","directory"]'
        lines = [f'node = "{name}"', f'role = "{"agent" if side else "entry"}"', f'class = "{"side" if side else "edge"}"',
                 f"serves = {serves}", f'ip = "{ip}"', f'zone = "{zone}"', f'region = "{REGIONS[zone]}"',
                 f"portRange = [{self.first_port},{self.last_port}]", "seeds = []", "bootstrap = true",
                 "countsAsLoss = false", 'discovery = "platform"', 'entry = "directory"', "heartbeatMs = 1200",
                 'contracts = ["base","drain","config","cost","retry","recover","engine","stream","tenants","platform","chunks"]']
        if side:
            lines += [f'app = "{side.address[0]}:{side.address[1]}"', f'service = "{side.service}"']
        lines += ["[zones]"] + [f'{zone} = "{region}"' for zone, region in REGIONS.items()] + ["[listen]"]
        if not side:
            lines += [f'front = "{ip}:{self.front}"', f'ready = "{ip}:{self.ready}"', f'directory = "{ip}:{self.directory}"']
        lines += ["[limits]", "cpuShare = 0.25", "cores = 1", f"ramMb = {128 if side else 260}",
                  f"maxFds = {2048 if side else 4100}", f"linkMbps = {7.3 if side else 1000.0}", "diskMb = 0",
                  "[tolerate]", "machines = 2", "zones = 0", "regions = 0", "[bounds]", "seedLagS = 3", "reuseS = 2",
                  "contactMs = 3000", "ackMs = 4000", "syncS = 4", "drainMs = 2000", "graceS = 8", "lostMs = 200",
                  "configMs = 2000", "rollbackSlackMs = 250", "outerMs = 5000", "strictRevoke = true", "revokeMs = 5000",
                  "retryRatio = 0.2", "retryWindowS = 10", "retryExtra = 104", "recoverS = 12", "passMs = 120",
                  "retryAfterS = 0", "version_ms = 8000", "version_all_ms = 0", "ttl_max_s = 5", "[provider]",
                  f'addr = "{self.store.address[0]}:{self.store.address[1]}"', 'form = "table"', "writesPerS = 400",
                  "readsPerS = 2000", "txMs = 4.0", "partWritesPerS = 250", "rowBytes = 65536", "across = true",
                  "historyS = 20"]
        path = os.path.join(self.dir, f"{name}.toml")
        with open(path, "w", encoding="utf-8") as file:
            file.write("\n".join(lines) + "\n")
        return path

    async def start_process(self, role, name, index, zone, side=None):
        """Starts a process with the command of the deploy file."""
        path = self.settings(name, index, zone, side)
        environment = {"PATH": os.environ.get("PATH", ""), "HOME": os.environ.get("HOME", ""), "FULMARLINE_BOOT": path}
        output = open(os.path.join(self.dir, f"{name}.log"), "ab")
        process = await asyncio.create_subprocess_exec(PROGRAM, role, env=environment, cwd=ROOT, stdout=output, stderr=output)
        self.processes[name] = process
        self.log(f"{name} starts, pid {process.pid}")
        return process

    async def wait_ready(self, index, timeout=15):
        end = time.monotonic() + timeout
        while time.monotonic() < end:
            answer = await self.call(index, "GET", "/fulmarline/ready", port=self.ready, log=False, timeout=1)
            if answer.status == 200:
                return
            await asyncio.sleep(0.05)
        raise CannotRun(f"entry {index} is not ready")

    async def call(self, index, method, path, headers=(), body=b"", port=None, log=True, timeout=8, key="key-1"):
        """Sends a request on a new connection and returns the answer."""
        self.sent += 1
        request_id = f"{self.sent:016x}"
        port = port or self.front
        lines = [f"{method} {path} HTTP/1.1", "Host: shop.example", f"Request-Id: {request_id}"]
        if key:
            lines.append(f"Authorization: Token {key}")
        lines += [f"{name}: {value}" for name, value in headers]
        if body or method != "GET":
            lines.append(f"Content-Length: {len(body)}")
        if log:
            self.log(f"request {request_id} {method} {path} key {key} to {self.ip(index)}")
        answer = Answer("no connection", [], b"", False)
        try:
            reader, writer = await asyncio.wait_for(asyncio.open_connection(self.ip(index), port, limit=1 << 22), 1)
            writer.write("\r\n".join(lines).encode() + b"\r\n\r\n" + body)
            answer = await asyncio.wait_for(read_answer(reader), timeout)
            writer.close()
        except (OSError, asyncio.TimeoutError) as err:
            answer = Answer(type(err).__name__, [], b"", False)
        answer.id = request_id
        if log:
            self.log(f"answer  {request_id} {answer}")
        return answer

    def logs(self, name):
        with open(os.path.join(self.dir, f"{name}.log"), encoding="utf-8", errors="replace") as file:
            return file.read()

    async def close(self):
        for process in self.processes.values():
            if process.returncode is None:
                try:
                    process.send_signal(signal.SIGCONT)
                    process.kill()
                    await process.wait()
                except ProcessLookupError:
                    pass
        if os.environ.get("KEEP_LOGS"):
            print(self.dir)
        else:
            shutil.rmtree(self.dir, ignore_errors=True)
        self.record.close()


REGIONS = {"mtl-a": "montreal", "qc-a": "quebec-city", "sher-a": "sherbrooke"}


class CannotRun(Exception):
    """The case could not be carried out."""


def free_ports(net, count):
    """Returns ascending ports below the ephemeral range that are free on a loopback address."""
    start = random.randrange(20000, 31000)
    ports = []
    for port in range(start, 32000):
        with socket.socket() as probe:
            try:
                probe.bind((f"127.{net}.1.1", port))
            except OSError:
                continue
        ports.append(port)
        if len(ports) == count:
            return ports
    raise CannotRun("no free ports")


def main(folder, case, **options):
    """Runs `case(site, trouble)`, which returns whether the rule held, and exits as the review demands."""
    trouble = os.environ.get("TROUBLE", "1") != "0"
    if not os.access(PROGRAM, os.X_OK):
        print("the program is not built")
        sys.exit(CANNOT_RUN)

    async def run():
        site = Site(folder, **options)
        try:
            await site.start()
            held = await asyncio.wait_for(case(site, trouble), 110)
            site.log("the rule held" if held else "THE RULE WAS BROKEN")
            return 0 if held else 1
        except (CannotRun, asyncio.TimeoutError) as err:
            site.log(f"the case could not run: {err!r}")
            return CANNOT_RUN
        finally:
            await site.close()

    sys.exit(asyncio.run(run()))
