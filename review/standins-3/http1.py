"""A small HTTP/1.1 server and client on asyncio, for stand-ins."""
import asyncio


class Head:
    """Request line or status line and header fields; names are in lower case."""

    def __init__(self, first, fields):
        self.first = first
        self.fields = fields

    def get(self, name, default=None):
        for key, value in self.fields:
            if key == name:
                return value
        return default

    def all(self, name):
        return [value for key, value in self.fields if key == name]


async def read_head(reader):
    """Returns the next head, or None if the connection ended before it."""
    try:
        raw = await reader.readuntil(b"\r\n\r\n")
    except (asyncio.IncompleteReadError, ConnectionError, asyncio.LimitOverrunError):
        return None
    lines = raw.decode("latin-1").split("\r\n")
    fields = []
    for line in lines[1:]:
        if line:
            name, _, value = line.partition(":")
            fields.append((name.strip().lower(), value.strip()))
    return Head(lines[0], fields)


async def read_chunks(reader, on_data=None):
    """Reads a chunked body; raises if it ends before its last chunk."""
    body = b""
    while True:
        line = await reader.readuntil(b"\r\n")
        size = int(line.split(b";")[0], 16)
        data = await reader.readexactly(size)
        await reader.readexactly(2)
        if size == 0:
            return body
        body += data
        if on_data:
            on_data(data)


async def read_body(reader, head):
    if "chunked" in (head.get("transfer-encoding") or ""):
        return await read_chunks(reader)
    return await reader.readexactly(int(head.get("content-length") or 0))


REASONS = {200: "OK", 202: "Accepted", 400: "Bad Request", 403: "Forbidden", 404: "Not Found", 409: "Conflict",
           410: "Gone", 412: "Precondition Failed", 421: "Misdirected Request", 503: "Service Unavailable"}


def response(status, body=b"", fields=()):
    lines = [f"HTTP/1.1 {status} {REASONS.get(status, 'Other')}"]
    lines += [f"{name}: {value}" for name, value in fields]
    lines.append(f"Content-Length: {len(body)}")
    return "\r\n".join(lines).encode() + b"\r\n\r\n" + body


async def serve(handler, ip, port):
    """Serves connections; `handler(head, body, writer)` writes the response and returns whether the connection stays open."""

    async def connection(reader, writer):
        try:
            while True:
                head = await read_head(reader)
                if head is None:
                    break
                body = await read_body(reader, head)
                if not await handler(head, body, writer):
                    break
        except (ConnectionError, asyncio.IncompleteReadError, asyncio.CancelledError):
            pass
        finally:
            writer.close()

    return await asyncio.start_server(connection, ip, port, limit=1 << 20)


class Answer:
    """What a client has received: `end` is whole, cut or none."""

    def __init__(self, end, status=None, head=None, body=b""):
        self.end, self.status, self.head, self.body = end, status, head, body


async def call(ip, port, method, path, fields, body=b"", timeout=10.0):
    """Sends one request on a new connection and reads its response."""
    writer = None
    try:
        reader, writer = await asyncio.wait_for(asyncio.open_connection(ip, port, limit=1 << 20), timeout)
        lines = [f"{method} {path} HTTP/1.1"] + [f"{name}: {value}" for name, value in fields]
        if body or method == "POST":
            lines.append(f"Content-Length: {len(body)}")
        writer.write("\r\n".join(lines).encode() + b"\r\n\r\n" + body)
        return await asyncio.wait_for(_read_answer(reader), timeout)
    except (OSError, asyncio.TimeoutError):
        return Answer("none")
    finally:
        if writer:
            writer.close()


async def _read_answer(reader):
    head = await read_head(reader)
    if head is None:
        return Answer("none")
    status = int(head.first.split()[1])
    try:
        if "chunked" in (head.get("transfer-encoding") or ""):
            got = []
            try:
                await read_chunks(reader, got.append)
            except (asyncio.IncompleteReadError, ConnectionError):
                return Answer("cut", status, head, b"".join(got))
            return Answer("whole", status, head, b"".join(got))
        return Answer("whole", status, head, await read_body(reader, head))
    except (asyncio.IncompleteReadError, ConnectionError):
        return Answer("cut", status, head)
