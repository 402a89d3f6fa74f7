"""HTTP/1.1 messages on asyncio streams, for the stand-ins of the soak."""
import asyncio
import json
import re

STATUS_LINE = re.compile(r"HTTP/1\.[01] ([1-5]\d\d)( [^\r\n]*)?")
REASONS = {200: "OK", 400: "Bad Request", 408: "Request Timeout", 421: "Misdirected Request", 429: "Too Many Requests",
           500: "Internal Server Error", 503: "Service Unavailable", 504: "Gateway Timeout"}


class Malformed(Exception):
    """Bytes that are no message of the protocol."""


class Cut(Exception):
    """The connection ended before a message was complete. `started` tells whether any byte of it had arrived."""

    def __init__(self, started):
        super().__init__("cut after its start" if started else "no byte")
        self.started = started


class Message:
    """A request or response: first line, headers with lower-case names, and body."""

    def __init__(self, first, headers, body=b""):
        self.first, self.headers, self.body = first, headers, body

    @property
    def status(self):
        return int(self.first.split(" ")[1])

    @property
    def closes(self):
        return "close" in self.headers.get("connection", "").lower()


async def read_head(reader):
    try:
        text = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1")
    except asyncio.IncompleteReadError as error:
        raise Cut(bool(error.partial)) from None
    except ConnectionError:
        raise Cut(False) from None
    except asyncio.LimitOverrunError:
        raise Malformed("a head without an end") from None
    first, *lines = text[:-4].split("\r\n")
    headers = {}
    for line in lines:
        name, colon, value = line.partition(":")
        if not colon or not name or name != name.strip():
            raise Malformed(f"header line {line!r}")
        if name.lower() in headers and name.lower() in ("content-length", "attempt-id", "response-seal"):
            raise Malformed(f"repeated header {name}")
        headers[name.lower()] = value.strip()
    return Message(first, headers)


async def read_body(reader, headers, until_close=False):
    try:
        if headers.get("transfer-encoding", "").lower() == "chunked":
            return await read_chunks(reader)
        if "content-length" in headers:
            return await reader.readexactly(int(headers["content-length"]))
        return await reader.read() if until_close else b""
    except (asyncio.IncompleteReadError, ConnectionError):
        raise Cut(True) from None
    except ValueError as error:
        raise Malformed(str(error)) from None


async def read_chunks(reader):
    body = []
    while True:
        line = await reader.readline()
        if not line.endswith(b"\n"):
            raise Cut(True)
        size = int(line.split(b";")[0], 16)
        body.append(await reader.readexactly(size))
        if await reader.readexactly(2) != b"\r\n":
            raise Malformed("a chunk without an end")
        if size == 0:
            return b"".join(body)


async def read_request(reader):
    message = await read_head(reader)
    message.body = await read_body(reader, message.headers)
    return message


async def read_response(reader):
    message = await read_head(reader)
    if not STATUS_LINE.fullmatch(message.first):
        raise Malformed(f"status line {message.first!r}")
    message.body = await read_body(reader, message.headers, until_close=message.status not in (204, 304))
    return message


def encode(first, headers, body=b"", framing="length"):
    """Returns the bytes of a message; `framing` is `length`, `chunked`, or `close` for a body that ends with the connection."""
    lines = [first] + [f"{name}: {value}" for name, value in headers.items()]
    if framing == "length":
        lines.append(f"Content-Length: {len(body)}")
    elif framing == "chunked":
        lines.append("Transfer-Encoding: chunked")
        parts = [body[n:n + 997] for n in range(0, len(body), 997)]
        body = b"".join(b"%x\r\n%s\r\n" % (len(it), it) for it in parts) + b"0\r\n\r\n"
    return ("\r\n".join(lines) + "\r\n\r\n").encode("latin-1") + body


def encode_response(status, headers, body=b"", framing="length", reason=None):
    reason = REASONS.get(status, "Status") if reason is None else reason
    return encode(f"HTTP/1.1 {status} {reason}", headers, body, framing)


async def call(address, method, path, body=None, timeout=1.0):
    """One exchange with a JSON body on a connection of its own."""

    async def exchange():
        host, port = address.rsplit(":", 1)
        reader, writer = await asyncio.open_connection(host, int(port))
        try:
            data = b"" if body is None else json.dumps(body).encode()
            fields = {"Host": address, "Connection": "close", "Content-Type": "application/json"}
            writer.write(encode(f"{method} {path} HTTP/1.1", fields, data))
            return await read_response(reader)
        finally:
            writer.close()

    return await asyncio.wait_for(exchange(), timeout)
