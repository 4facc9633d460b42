"""A small HTTP/1.1 server and client with JSON bodies, for the stand-ins."""

import asyncio
import http.client
import json

MAX_HEADER_BYTES = 64 * 1024
REASONS = {200: "OK", 400: "Bad Request", 403: "Forbidden", 404: "Not Found",
           409: "Conflict", 410: "Gone", 412: "Precondition Failed",
           421: "Misdirected Request", 429: "Too Many Requests",
           503: "Service Unavailable"}


class Request:
    """A request that was read from a connection."""

    def __init__(self, method, target, headers, body):
        self.method = method
        self.path, _, query = target.partition("?")
        self.headers = headers
        self.body = body
        self.query = {}
        for pair in query.split("&"):
            name, found, value = pair.partition("=")
            if found:
                self.query[name] = _percent_decode(value)

    def json(self):
        """Returns the body as an object; None if it is not one."""
        try:
            value = json.loads(self.body)
        except ValueError:
            return None
        return value if isinstance(value, dict) else None


def _percent_decode(text):
    out = bytearray()
    i = 0
    while i < len(text):
        if text[i] == "%" and i + 2 < len(text):
            out.append(int(text[i + 1:i + 3], 16))
            i += 3
        else:
            out += text[i].encode()
            i += 1
    return out.decode("utf-8", "replace")


async def _read_request(reader):
    """Reads one request; returns None at the end of the connection."""
    head = await reader.readuntil(b"\r\n\r\n")
    lines = head.decode("latin-1").split("\r\n")
    method, target, _ = lines[0].split(" ", 2)
    headers = {}
    for line in lines[1:]:
        name, found, value = line.partition(":")
        if found:
            headers[name.strip().lower()] = value.strip()
    length = int(headers.get("content-length", "0"))
    body = await reader.readexactly(length) if length else b""
    return Request(method, target, headers, body)


async def serve(host, port, handler):
    """Starts a server; `handler(request)` returns a status and an object."""

    async def on_connection(reader, writer):
        try:
            while True:
                request = await _read_request(reader)
                status, value = await handler(request)
                body = json.dumps(value, separators=(",", ":")).encode()
                closing = request.headers.get("connection", "") == "close"
                head = (f"HTTP/1.1 {status} {REASONS.get(status, 'Other')}\r\n"
                        "Content-Type: application/json\r\n"
                        f"Content-Length: {len(body)}\r\n"
                        + ("Connection: close\r\n" if closing else "") + "\r\n")
                writer.write(head.encode() + body)
                await writer.drain()
                if closing:
                    break
        except (asyncio.IncompleteReadError, asyncio.LimitOverrunError,
                ConnectionError, ValueError):
            pass
        finally:
            writer.close()

    return await asyncio.start_server(on_connection, host, port,
                                      limit=MAX_HEADER_BYTES, backlog=512)


def call(address, method, path, value=None, headers=None, timeout=3.0):
    """Sends one request on a new connection. Returns the status and the object
    of the response; the status is 0 if there was no response."""
    connection = http.client.HTTPConnection(address, timeout=timeout)
    try:
        body = None if value is None else json.dumps(value)
        connection.request(method, path, body,
                           {"Content-Type": "application/json",
                            **(headers or {})})
        response = connection.getresponse()
        data = response.read()
        try:
            return response.status, json.loads(data) if data else {}
        except ValueError:
            return response.status, {}
    except (OSError, http.client.HTTPException):
        return 0, {}
    finally:
        connection.close()
