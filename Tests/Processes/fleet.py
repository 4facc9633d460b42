"""Runs entry hosts, a fake table and fake workers as processes on loopback."""

import http.client
import json
import os
import select
import shutil
import signal
import socket
import subprocess
import sys
import tempfile
import threading
import time

BIN = os.environ["HYSSOPBARROW_BIN"]
DAEMON = os.path.join(BIN, "Source/Daemon/hyssopbarrowd")
TABLE = os.path.join(BIN, "Utilities/StandIns/standin_table")
WORKER = os.path.join(BIN, "Utilities/StandIns/standin_worker")
DATA_CENTRES = ("namche", "lukla", "tengboche")
CALLER_KEY = "caller-secret"
OPERATOR_KEY = "operator-secret"
# Detects a test that hangs; not a limit on speed.
TIMEOUT_S = 90


def request(address, method, path, body=None, headers=None, timeout=30):
    """Sends one HTTP request on a new connection; returns status, headers, body."""
    connection = http.client.HTTPConnection(address, timeout=timeout)
    try:
        connection.request(method, path, body, headers or {})
        reply = connection.getresponse()
        return reply.status, dict(reply.getheaders()), reply.read()
    finally:
        connection.close()


def until(condition, what):
    """Polls `condition` until it is true and returns its value."""
    deadline = time.monotonic() + TIMEOUT_S
    while time.monotonic() < deadline:
        value = condition()
        if value:
            return value
        time.sleep(0.05)
    raise AssertionError(f"timeout after {TIMEOUT_S} s waiting for: {what}")


class Entry:
    """An entry host process."""

    def __init__(self, fleet, name, data_centre, peers_port=0, seeds=None,
                 drain_ms=500):
        self.fleet = fleet
        self.name = name
        self.data_centre = data_centre
        self.file = os.path.join(fleet.directory, f"{name}.{time.monotonic_ns()}")
        seeds = fleet.seeds if seeds is None else seeds
        with open(self.file + ".yaml", "w") as out:
            out.write(f"""node: {{name: {name}, data_centre: {data_centre}}}
callers: {{listen: "127.0.0.1:0"}}
operators: {{listen: "127.0.0.1:0"}}
table: {{address: "{fleet.table}"}}
peers:
  listen: "127.0.0.1:{peers_port}"
  secret: fleet-secret
  seeds: {json.dumps(seeds)}
stop: {{drain_ms: {drain_ms}}}
""")
        self.log = open(self.file + ".log", "w")
        self.process = subprocess.Popen(
            [DAEMON, "--settings", self.file + ".yaml",
             "--address_file", self.file + ".json"],
            stderr=self.log, stdout=self.log)
        self.addresses = until(self._read_addresses, f"{name} started")
        self.callers = self.addresses["callers"]
        self.operators = self.addresses["operators"]
        self.peers = self.addresses["peers"]

    def _read_addresses(self):
        assert self.process.poll() is None, open(self.file + ".log").read()
        if not os.path.exists(self.file + ".json"):
            return None
        with open(self.file + ".json") as source:
            return json.load(source)

    def signal(self, number):
        self.process.send_signal(number)

    def is_ready(self):
        try:
            return request(self.callers, "GET", "/healthz", timeout=2)[0] == 200
        except OSError:
            return False

    def status(self):
        """Returns the status document, or None if it is unavailable."""
        try:
            code, _, body = request(
                self.operators, "GET", "/admin/v1/status",
                headers={"Authorization": "Bearer " + OPERATOR_KEY}, timeout=5)
        except OSError:
            return None
        return json.loads(body) if code == 200 else None

    def call(self, queue="book", body=b"x", key=CALLER_KEY, headers=None,
             timeout=60):
        headers = dict(headers or {})
        if key:
            headers["Authorization"] = "Bearer " + key
        code, got, reply = request(self.callers, "POST",
                                   f"/v1/queues/{queue}/calls", body, headers,
                                   timeout)
        return code, got.get("x-outcome"), got.get("x-reason"), reply

    def change(self, method, row, value=None, query=""):
        """Changes one row as an operator; returns status and response."""
        code, _, body = request(
            self.operators, method, f"/admin/v1/{row}{query}",
            None if value is None else json.dumps(value),
            {"Authorization": "Bearer " + OPERATOR_KEY}, timeout=TIMEOUT_S)
        return code, json.loads(body)


class Fleet:
    """A table, workers and entry hosts, killed at the end of the test."""

    def __init__(self, hosts_per_data_centre=2, data_centres=DATA_CENTRES,
                 workers=1):
        self.directory = tempfile.mkdtemp(prefix="hyssopbarrow-test-")
        self.processes = []
        self.entries = []
        self.seeds = []
        self.table = self._start(TABLE)
        self.hosts = {}
        for data_centre in data_centres:
            for n in range(workers):
                name = f"target-{data_centre}-{n}"
                self.hosts[name] = (data_centre,
                                    self._start(WORKER, "--name", name))
        self._load_table()
        for data_centre in data_centres:
            for n in range(hosts_per_data_centre):
                self.start_entry(f"{data_centre}-{n}", data_centre)
        self.wait_connected()

    def _start(self, program, *arguments):
        process = subprocess.Popen([program, *arguments],
                                   stdout=subprocess.PIPE, text=True)
        self.processes.append(process)
        return process.stdout.readline().strip()

    def _load_table(self):
        import hashlib
        digest = lambda text: hashlib.sha256(text.encode()).hexdigest()
        rows = {
            "revision": {"number": 1},
            "team/huts": {"weight": 1, "ceiling": 1000},
            "pool/booking": {},
            "queue/book": {"pool": "booking"},
            "queue/status": {"pool": "booking", "open": True},
            "key/desk": {"digest": digest(CALLER_KEY), "team": "huts"},
            "key/office": {"digest": digest(OPERATOR_KEY), "role": "operator",
                           "verbs": ["*"]},
        }
        for name, (data_centre, address) in self.hosts.items():
            rows[f"host/{name}"] = {"pool": "booking", "rack": "r1",
                                    "data_centre": data_centre,
                                    "address": address}
        self.commit({f"config/{key}": value for key, value in rows.items()})

    def commit(self, rows):
        writes = [{"key": key, "value": value} for key, value in rows.items()]
        code, _, body = request(self.table, "POST", "/transactions", json.dumps(
            {"conditions": [], "writes": writes}))
        assert code == 200, body

    def rows(self, prefix):
        code, _, body = request(self.table, "GET", f"/rows?prefix={prefix}")
        assert code == 200, body
        return json.loads(body)["rows"]

    def set_table_down(self, down):
        request(self.table, "POST", "/faults", json.dumps({"down": down}))

    def start_entry(self, name, data_centre, **settings):
        entry = Entry(self, name, data_centre, **settings)
        self.entries.append(entry)
        if len(self.seeds) < 3:
            self.seeds.append(entry.peers)
        return entry

    def live(self):
        return [entry for entry in self.entries if entry.process.poll() is None]

    def sees_all(self, entry):
        """Returns whether `entry` reports every running entry host as live."""
        status = entry.status()
        if not status:
            return False
        names = {member["name"] for member in status["members"] if member["live"]}
        return {live.name for live in self.live()} <= names

    def wait_connected(self):
        until(lambda: all(self.sees_all(entry) for entry in self.live()),
              "every entry host reports all others as live")

    def revisions(self):
        statuses = [entry.status() for entry in self.live()]
        return [status["snapshot_revision"] if status else None
                for status in statuses]

    def runs(self):
        """Returns the number of runs by request id, over all workers."""
        total = {}
        for _, address in self.hosts.values():
            for key, n in json.loads(request(address, "GET", "/runs")[2]).items():
                total[key] = total.get(key, 0) + n
        return total

    def close(self, print_logs):
        for entry in self.entries:
            if entry.process.poll() is None:
                entry.process.send_signal(signal.SIGCONT)
                entry.process.kill()
            entry.process.wait()
            entry.log.close()
            if print_logs:
                print(f"== {entry.file}.log", file=sys.stderr)
                with open(entry.file + ".log") as source:
                    print(source.read()[-3000:], file=sys.stderr)
        for process in self.processes:
            process.kill()
            process.wait()
            process.stdout.close()
        shutil.rmtree(self.directory)

    def __enter__(self):
        return self

    def __exit__(self, kind, value, trace):
        self.close(print_logs=kind is not None)


class Load:
    """Callers that send calls to the entry hosts of one data centre, each caller
    one call at a time. Like a load balancer, they use the hosts that /healthz
    reported as ready, checked every 100 ms."""

    def __init__(self, fleet, data_centre, callers=4, queue="book", key=CALLER_KEY,
                 headers=None):
        self.fleet = fleet
        self.data_centre = data_centre
        self.results = []  # (code, outcome, reason)
        self.failures = []  # (entry host, error) of failed connections and wrong answers
        self.queue, self.key, self.headers = queue, key, headers
        self.stopping = threading.Event()
        self.ready = self._find_ready()
        self.threads = [threading.Thread(target=self._check_ready)]
        self.threads += [threading.Thread(target=self._run, args=(n,))
                         for n in range(callers)]
        for thread in self.threads:
            thread.start()

    def _find_ready(self):
        return [entry for entry in list(self.fleet.entries)
                if entry.data_centre == self.data_centre
                and entry.process.poll() is None and entry.is_ready()]

    def _check_ready(self):
        while not self.stopping.is_set():
            self.ready = self._find_ready()
            time.sleep(0.1)

    def _run(self, number):
        count = 0
        while not self.stopping.is_set():
            ready = self.ready
            if not ready:
                time.sleep(0.02)
                continue
            entry = ready[(number + count) % len(ready)]
            count += 1
            body = f"{number}-{count}".encode()
            try:
                code, outcome, reason, reply = entry.call(
                    self.queue, body, self.key, self.headers)
            except (OSError, http.client.HTTPException) as error:
                self.failures.append((entry.name, repr(error)))
                continue
            if code == 200 and reply != body:
                self.failures.append((entry.name, "another call's answer"))
            self.results.append((code, outcome, reason))

    def count(self):
        return len(self.results)

    def wait_for(self, more):
        """Waits until `more` further calls have been answered with 200."""
        answered = lambda: sum(
            1 for result in list(self.results) if result[0] == 200)
        goal = answered() + more
        until(lambda: answered() >= goal, f"{more} more calls answered")

    def stop(self):
        self.stopping.set()
        for thread in self.threads:
            thread.join()
        return self

    def __enter__(self):
        return self

    def __exit__(self, *_):
        self.stop()


class Forwarder:
    """TCP proxy to one address that can stop forwarding on open connections."""

    def __init__(self, target):
        self.target = target
        self.listener = socket.create_server(("127.0.0.1", 0))
        self.address = "127.0.0.1:%d" % self.listener.getsockname()[1]
        self.pairs = {}
        self.stalled = set()
        self.lock = threading.Lock()
        self.closing = False
        self.accepted = 0
        self.thread = threading.Thread(target=self._run)
        self.thread.start()

    def stall_open(self):
        """Stops forwarding on all open connections, but not on later ones."""
        with self.lock:
            self.stalled |= set(self.pairs)

    def close(self):
        self.closing = True
        self.thread.join()

    def _run(self):
        while not self.closing:
            with self.lock:
                watched = [end for end in self.pairs if end not in self.stalled]
            readable, _, _ = select.select([self.listener, *watched], [], [], 0.05)
            for ready in readable:
                if ready is self.listener:
                    self._accept()
                else:
                    self._forward(ready)
        for end in list(self.pairs):
            end.close()
        self.listener.close()

    def _accept(self):
        near, _ = self.listener.accept()
        host, port = self.target.split(":")
        try:
            far = socket.create_connection((host, int(port)))
        except OSError:
            near.close()
            return
        self.accepted += 1
        with self.lock:
            self.pairs[near], self.pairs[far] = far, near

    def _forward(self, source):
        try:
            data = source.recv(65536)
            if data:
                self.pairs[source].sendall(data)
                return
        except OSError:
            pass
        with self.lock:
            other = self.pairs.pop(source, None)
            self.pairs.pop(other, None)
        source.close()
        if other:
            other.close()
