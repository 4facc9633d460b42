"""A TCP proxy to a worker that can be cut off: packets are then lost."""

import select
import socket
import threading
import time


class Proxy:
    """Forwards connections to `target`, an address as IP:PORT."""

    def __init__(self, address, target):
        self.address, self.target = address, target
        self.cut_until = 0
        self.is_cut = False
        self.pairs = {}
        self.closing = False
        self._listen(128)
        self.thread = threading.Thread(target=self._run, daemon=True)
        self.thread.start()

    def _listen(self, backlog):
        host, port = self.address.split(":")
        self.listener = socket.socket()
        self.listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        self.listener.bind((host, int(port)))
        self.listener.listen(backlog)

    def cut(self, seconds):
        """Loses all packets for so long."""
        self.cut_until = time.monotonic() + seconds

    def _begin_cut(self):
        """Nobody accepts, and the queue of new connections is full, so that
        further opening packets are dropped. Open connections go silent."""
        self.is_cut = True
        self.listener.listen(0)
        self.fillers = []
        for _ in range(4):
            filler = socket.socket()
            filler.setblocking(False)
            filler.connect_ex(self.listener.getsockname())
            self.fillers.append(filler)

    def _end_cut(self):
        """Connections of the time of the cut were lost with their packets."""
        self.is_cut = False
        for filler in self.fillers:
            filler.close()
        self.listener.listen(128)
        self.listener.settimeout(0.05)
        try:
            while True:
                self.listener.accept()[0].close()
        except OSError:
            pass
        self.listener.settimeout(None)

    def _run(self):
        while not self.closing:
            cut = time.monotonic() < self.cut_until
            if cut != self.is_cut:
                (self._begin_cut if cut else self._end_cut)()
            if cut:
                time.sleep(0.01)
                continue
            readable, _, _ = select.select([self.listener, *self.pairs], [], [],
                                           0.02)
            for end in readable:
                if end is self.listener:
                    self._accept()
                elif end in self.pairs:
                    self._forward(end)

    def _accept(self):
        near, _ = self.listener.accept()
        host, port = self.target.split(":")
        try:
            far = socket.create_connection((host, int(port)), timeout=1)
        except OSError:
            near.close()
            return
        self.pairs[near], self.pairs[far] = far, near

    def _forward(self, source):
        try:
            data = source.recv(65536)
            if data:
                self.pairs[source].sendall(data)
                return
        except OSError:
            pass
        other = self.pairs.pop(source)
        self.pairs.pop(other, None)
        source.close()
        other.close()
