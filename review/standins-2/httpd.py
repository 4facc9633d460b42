"""A small HTTP/1.1 server with persistent connections, for the stand-ins."""

import json
import socket
import socketserver
import urllib.parse


class Server(socketserver.ThreadingTCPServer):
    """Calls `handle(method, path, query, headers, body)` for each request.

    `handle` returns a status and a JSON value, which is sent as the body; None
    for the status closes the connection without a response.
    """

    allow_reuse_address = True
    daemon_threads = True
    request_queue_size = 512

    def __init__(self, address, handle):
        self.handle = handle
        super().__init__(address, _Connection)


class _Connection(socketserver.StreamRequestHandler):
    disable_nagle_algorithm = True

    def handle(self):
        try:
            while self._serve_one():
                pass
        except (OSError, ValueError):
            pass

    def _serve_one(self):
        line = self.rfile.readline(65536)
        if not line:
            return False
        method, target, _ = line.decode("latin-1").split(" ", 2)
        headers = {}
        while True:
            line = self.rfile.readline(65536)
            if line in (b"\r\n", b""):
                break
            name, value = line.decode("latin-1").split(":", 1)
            headers[name.strip().lower()] = value.strip()
        body = self.rfile.read(int(headers.get("content-length", 0)))
        url = urllib.parse.urlsplit(target)
        query = dict(urllib.parse.parse_qsl(url.query, keep_blank_values=True))
        status, value = self.server.handle(
            method, urllib.parse.unquote(url.path), query, headers, body)
        if status is None:
            return False
        data = json.dumps(value).encode()
        close = headers.get("connection", "").lower() == "close"
        self.wfile.write(
            (f"HTTP/1.1 {status} X\r\ncontent-type: application/json\r\n"
             f"content-length: {len(data)}\r\n"
             f"connection: {'close' if close else 'keep-alive'}\r\n\r\n"
             ).encode() + data)
        return not close


def free_port(ip):
    """Returns a port that is free at `ip`."""
    with socket.socket() as probe:
        probe.bind((ip, 0))
        return probe.getsockname()[1]
