"""Clients that keep to no limits must not end an entry host, nor exceed its memory
and descriptors, and an ordinary call must be answered beside them.

Usage: clients_outside_limits.py MODE [silent]. With `silent` the store answers
nothing while the clients send. Uses the stand-ins of review/."""

import asyncio
import os
import selectors
import socket
import subprocess
import sys
import tempfile
import time

ROOT = os.path.dirname(os.path.dirname(os.path.dirname(os.path.abspath(__file__))))
sys.path.insert(0, os.path.join(ROOT, "review", "standins"))

import platform_store
import wire
import world

CROWD = 300  # Clients; each connects again when it is closed, RECONNECTS times.
RECONNECTS = 2
BODY_BYTES = 250_000  # Of the 262,144 that are allowed.
MEMORY_MB, MAX_FDS = 48, 1700  # Of the settings, so that a small crowd suffices.
MAX_GROWTH_MB = 36  # Of the peak memory; an idle entry host has about 9 MB.
SENDING_S, STAYING_S = 4, 2
TIMEOUT_S = 60  # Detects a host that does not answer; not a limit on speed.
SERVICE, KEY = "hut-desk", "key-of-huts"
MODES = ("whole", "short", "pieces", "headers", "unread", "pipelined", "deaf")


class QuietPlatform(platform_store.Platform):
    """A platform whose store can stop answering the entry hosts."""

    silent = False

    async def _handle(self, request, inner):
        while QuietPlatform.silent and not inner:
            await asyncio.sleep(0.1)
        return await super()._handle(request, inner)


def head(method, number, length, key=KEY):
    return (f"{method} /p0/{number:016x} HTTP/1.1\r\nHost: {world.HOST}\r\n"
            f"Authorization: Token {key}\r\nContent-Type: application/json\r\n"
            "X-Hyssopbarrow-Request-Timeout-Ms: 3000\r\n"
            f"Content-Length: {length}\r\n\r\n").encode()


def job(number, size):
    """A request that hands in a job of `size` bytes."""
    start = b'{"Spec":"[]","Steps":[{"Count":1,"Cpu":500,"EstimateMs":100}],"Pad":"'
    body = start + b"x" * (size - len(start) - 2) + b'"}'
    return head("POST", number, size) + body


def script(mode, number):
    """What one client sends."""
    if mode in ("whole", "pieces"):
        return job(number, BODY_BYTES)
    if mode == "short":
        return job(number, BODY_BYTES)[:-1]
    if mode == "headers":
        start = head("POST", number, 0)[:-2]
        return start + b"".join(b"X-Pad-%d: %s\r\n" % (n, b"y" * 1000)
                                for n in range(300))
    if mode == "unread":
        return head("GET", number, 0) * 2000
    if mode == "deaf":
        # Answered at once, until the buffers for answers are full.
        return head("GET", number, 0, "none") * 4000
    return b"".join(job(number * 1000 + n, 2000) for n in range(120))


class Client:
    def __init__(self, mode, number, address):
        self.mode, self.number, self.address = mode, number, address
        self.connects = 0
        self.socket = None
        self.connect()

    def connect(self):
        self.close()
        if self.connects > RECONNECTS:
            return
        self.connects += 1
        self.left = memoryview(script(self.mode, self.number))
        self.socket = socket.socket()
        if self.mode == "deaf":
            self.socket.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4096)
        self.socket.setblocking(False)
        host, port = self.address.split(":")
        self.socket.connect_ex((host, int(port)))

    def close(self):
        if self.socket is not None:
            self.socket.close()
            self.socket = None

    def send(self):
        piece = 8192 if self.mode == "pieces" else 65536
        try:
            if self.left:
                self.left = self.left[self.socket.send(self.left[:piece]):]
            if self.mode not in ("unread", "deaf") and not self.socket.recv(65536):
                self.connect()
        except BlockingIOError:
            pass
        except OSError:
            self.connect()


def drive(clients, seconds):
    """Lets the clients send in turns; returns once the time is over."""
    end = time.monotonic() + seconds
    while time.monotonic() < end:
        with selectors.DefaultSelector() as ready:
            for client in clients:
                if client.socket is not None:
                    ready.register(client.socket, selectors.EVENT_READ |
                                   (selectors.EVENT_WRITE if client.left else 0),
                                   client)
            for key, _ in ready.select(0.05):
                if key.data.socket is not None:
                    key.data.send()


def status(entry, field):
    with open(f"/proc/{entry['process'].pid}/status") as lines:
        return next(int(line.split()[1]) / 1024 for line in lines
                    if line.startswith(field + ":"))


def count_descriptors(entry):
    return len(os.listdir(f"/proc/{entry['process'].pid}/fd"))


def is_answered(entry, number):
    """Hands in an ordinary job, again and again until it is accepted."""
    body = {"Spec": "[]", "Steps": [{"Count": 1, "Cpu": 500, "EstimateMs": 100}]}
    headers = {"Host": world.HOST, "Authorization": "Token " + KEY,
               "X-Hyssopbarrow-Request-Timeout-Ms": "3000"}
    end = time.monotonic() + TIMEOUT_S
    while time.monotonic() < end:
        if wire.call(entry["front"], "POST", f"/p0/{number:016x}", body, headers,
                     timeout=3)[0] == 200:
            return True
        time.sleep(0.1)
    return False


class SmallWorld(world.World):
    """A deployment whose entry hosts have little memory and few descriptors."""

    def run_entry(self, entry):
        with open(entry["settings"]) as settings:
            text = settings.read()
        text = text.replace("MemoryMb = 260", f"MemoryMb = {MEMORY_MB}")
        text = text.replace("MaxFds = 4100", f"MaxFds = {MAX_FDS}")
        assert f"MemoryMb = {MEMORY_MB}" in text and f"MaxFds = {MAX_FDS}" in text
        with open(entry["settings"], "w") as settings:
            settings.write(text)
        # Memory that AddressSanitizer holds back says nothing of the program: by
        # default it keeps freed memory for 5 s, nearly as long as the test lasts.
        with open(entry["log"], "a") as log:
            entry["process"] = subprocess.Popen(
                [world.ENTRY], stdout=log, stderr=log,
                env={"HYSSOPBARROW_SETTINGS": entry["settings"],
                     "ASAN_OPTIONS": "quarantine_size_mb=1:"
                                     "allocator_release_to_os_interval_ms=0"})
        self.processes.append(entry["process"])


def run(mode, silent):
    route = {"Name": "r0", "Host": world.HOST, "PathPrefix": "/p0/", "Kind": "unsafe",
             "TimeoutMs": 3000, "TargetLatencyMs": 600, "Priority": 0,
             "Service": SERVICE, "MaxAttempts": 3, "SlackFactor": 1.6,
             "Public": False}
    team = {"Name": "huts", "ApiKeys": [KEY], "Weight": 10,
            "UpperLimit": {"Cpu": 0, "MemMb": 0, "Gpu": 0}}
    world.Platform = QuietPlatform
    world.ENTRY = os.path.join(os.environ["HYSSOPBARROW_BIN"], "platform",
                               "hyssopbarrow-entry")
    deployment = SmallWorld(tempfile.mkdtemp(), [route],
                            [{"Name": SERVICE, "RejectsOverload": True}], [team],
                            entries=1)
    problems = []
    clients = []
    try:
        deployment.wait_ready(timeout=TIMEOUT_S)
        entry = deployment.entries[0]
        if not is_answered(entry, 1):
            problems.append("a single call was not answered in calm")
        before = status(entry, "VmRSS")
        QuietPlatform.silent = silent
        crowd = 1 if mode == "pipelined" else CROWD
        clients = [Client(mode, 1000 + n, entry["front"]) for n in range(crowd)]
        drive(clients, SENDING_S)
        descriptors = count_descriptors(entry)
        drive(clients, STAYING_S)
        QuietPlatform.silent = False
        if not is_answered(entry, 2):
            problems.append("an ordinary call was not answered")
        growth = status(entry, "VmHWM") - before
        print(f"{mode}{' silent' if silent else ''}: {before:.0f} MB before, "
              f"grew by {growth:.0f} MB, {descriptors} descriptors")
        if growth > MAX_GROWTH_MB:
            problems.append(f"memory grew by {growth:.0f} MB > {MAX_GROWTH_MB}")
        if descriptors > MAX_FDS:
            problems.append(f"{descriptors} descriptors > {MAX_FDS}")
        if entry["process"].poll() is not None:
            problems.append("the process has ended")
    finally:
        for client in clients:
            client.close()
        deployment.close()
    for problem in problems:
        print(problem)
    return 1 if problems else 0


if __name__ == "__main__":
    assert sys.argv[1] in MODES
    sys.exit(run(sys.argv[1], "silent" in sys.argv[2:]))
