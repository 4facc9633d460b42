"""Open connections to the store go silent while new ones work, and then the
configuration changes. Entry hosts must not answer by the older version once the
newer one has to be in force, and must serve the newer one after a while.

Uses the stand-ins of review/."""

import os
import select
import socket
import sys
import tempfile
import threading
import time

ROOT = os.path.dirname(os.path.dirname(os.path.dirname(os.path.abspath(__file__))))
sys.path.insert(0, os.path.join(ROOT, "review", "standins"))

import platform_store
import wire
import world

CONFIG_APPLY_S = 2  # ConfigApplyMs, which the settings of the stand-ins leave out.
TIMEOUT_S = 60  # Detects a host that stays behind; not a limit on speed.
BURST = 45  # Calls at once, which leave that many connections to the store.
SERVICE, KEY, WITHDRAWN_KEY = "hut-desk", "key-of-huts", "key-withdrawn"


class Link:
    """Forwards connections to the store."""

    def __init__(self, address, target):
        self.target = target
        self.other_ends = {}
        self.silent = set()
        self.lock = threading.Lock()
        host, port = address.split(":")
        self.listener = socket.create_server((host, int(port)), backlog=256)
        threading.Thread(target=self._run, daemon=True).start()

    def silence_open(self):
        """Stops forwarding on all open connections, but not on later ones."""
        with self.lock:
            self.silent |= set(self.other_ends)

    def _run(self):
        while True:
            with self.lock:
                ends = {end.fileno(): end for end in self.other_ends
                        if end not in self.silent and end.fileno() >= 0}
            ends[self.listener.fileno()] = self.listener
            poller = select.poll()
            for descriptor in ends:
                poller.register(descriptor, select.POLLIN)
            for descriptor, _ in poller.poll(5):
                if ends[descriptor] is self.listener:
                    self._accept()
                else:
                    self._forward(ends[descriptor])

    def _accept(self):
        near, _ = self.listener.accept()
        host, port = self.target.split(":")
        far = socket.create_connection((host, int(port)))
        for end in (near, far):
            end.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        with self.lock:
            self.other_ends[near], self.other_ends[far] = far, near

    def _forward(self, source):
        other = self.other_ends.get(source)
        if other is None or source in self.silent:
            return
        try:
            data = source.recv(65536)
            if data:
                other.sendall(data)
                return
        except OSError:
            pass
        with self.lock:
            self.other_ends.pop(source, None)
            self.other_ends.pop(other, None)
        source.close()
        other.close()


links = []


class LinkedPlatform(platform_store.Platform):
    """A platform whose store the entry hosts reach through a link."""

    def start(self):
        super().start()
        store = self.address
        ip = store.split(":")[0]
        self.address = f"{ip}:{world.free_port(ip)}"
        links.append(Link(self.address, store))


def configuration(version):
    """Version 1 has one route and two keys. Version 2 adds a route and withdraws
    a key."""
    routes = [{"Name": f"r{n}", "Host": world.HOST, "PathPrefix": f"/p{n}/",
               "Kind": "unsafe", "TimeoutMs": 3000, "TargetLatencyMs": 600,
               "Priority": 0, "Service": SERVICE, "MaxAttempts": 3,
               "SlackFactor": 1.6, "Public": False} for n in range(version)]
    keys = [KEY] if version > 1 else [KEY, WITHDRAWN_KEY]
    return {"Version": version, "Routes": routes, "Limits": {},
            "Services": [{"Name": SERVICE, "RejectsOverload": True}],
            "Tenants": [{"Name": "huts", "ApiKeys": keys, "Weight": 10,
                         "UpperLimit": {"Cpu": 0, "MemMb": 0, "Gpu": 0}}]}


def job(number):
    return f"{number:016x}"


def submit(front, path, number, key):
    """Submits a job once; returns the status, or 0 without an answer."""
    body = {"Spec": '[{"ms": 100, "cpu": 500, "mem": 100}]',
            "Steps": [{"Count": 1, "Cpu": 500, "MemMb": 100, "EstimateMs": 100}]}
    headers = {"Host": world.HOST, "Authorization": "Token " + key,
               "X-Hyssopbarrow-Request-Timeout-Ms": "3000"}
    return wire.call(front, "POST", path + job(number), body, headers,
                     timeout=3)[0]


def run_at_once(calls):
    threads = [threading.Thread(target=call) for call in calls]
    for thread in threads:
        thread.start()
    for thread in threads:
        thread.join()


def watch(entry, number, must_be_in_force_at, errors):
    """Calls an entry host until it serves the newer version; adds answers by the
    older one that were given too late to `errors`."""
    deadline = time.monotonic() + TIMEOUT_S
    calls = 0
    while time.monotonic() < deadline:
        sent = time.monotonic()
        calls += 2
        number_of_call = (number << 32) + calls
        added = submit(entry["front"], "/p1/", number_of_call, KEY)
        withdrawn = submit(entry["front"], "/p0/", number_of_call + 1,
                           WITHDRAWN_KEY)
        late = sent - must_be_in_force_at
        if late > 0 and (added == 404 or withdrawn == 200):
            errors.append(f"{entry['name']}: added route {added}, withdrawn key "
                          f"{withdrawn}, {late:.2f} s late")
        if added == 200 and withdrawn == 401:
            return
        time.sleep(0.03)
    errors.append(f"{entry['name']}: not in force after {TIMEOUT_S} s")


def main():
    world.Platform = LinkedPlatform
    world.ENTRY = os.path.join(os.environ["HYSSOPBARROW_BIN"], "platform",
                               "hyssopbarrow-entry")
    first = configuration(1)
    deployment = world.World(tempfile.mkdtemp(), first["Routes"],
                             first["Services"], first["Tenants"])
    errors = []
    try:
        deployment.wait_ready(timeout=TIMEOUT_S)
        run_at_once([
            lambda n=n: submit(deployment.entries[n % 3]["front"], "/p0/", n, KEY)
            for n in range(BURST)])
        time.sleep(0.7)
        links[0].silence_open()
        time.sleep(0.9)
        deployment.platform.put("op", "config", configuration(2))
        in_force_at = time.monotonic() + CONFIG_APPLY_S
        run_at_once([lambda n=n, e=e: watch(e, n, in_force_at, errors)
                     for n, e in enumerate(deployment.entries, 1)])
    finally:
        deployment.close()
    for error in errors[:10]:
        print(error)
    return 1 if errors else 0


sys.exit(main())
