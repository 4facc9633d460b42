"""Runs a small deployment on loopback: the system's own programs, as
deploy/system.toml starts them, with stand-ins of the platform and the workers."""

import base64
import http.client
import json
import os
import random
import shutil
import signal
import socket
import subprocess
import sys
import tempfile
import threading
import time
import tomllib

import httpd

HERE = os.path.dirname(os.path.abspath(__file__))
ROOT = os.path.dirname(os.path.dirname(HERE))
TROUBLE = os.environ.get("TROUBLE", "1") != "0"
HELD, BROKEN, NOT_RUN = 0, 1, 2
METRICS_PORT = 9464
HEARTBEAT_MS = 1500
# The bounds of khumbu-sched.
BOUNDS = dict(
    SeedLagS=3, AddrReuseS=2, ContactMs=3000, AckMs=4000, CatchUpS=4,
    DrainMs=2000, GraceS=6, LossSlackMs=200, ConfigApplyMs=2000,
    RollbackSlackMs=250, MaxSkewMs=5000, StrictRevoke=False, RevokeMs=5000,
    QuotaWindowS=5, QuotaOverage=0.1, QuotaSlack=20, RecoveryS=12,
    HoldMaxMs=10000, StopMs=900, GangTimeoutMs=3000, cancel_ms=3000,
    visible_ms=3000, early_ms=250, finish_s=14, status_s=120, SpreadFactor=3,
    CheckpointS=1, RestoreMs=100, NoticeMs=4500, MoveS=1.5, UpkeepS=2,
    FencingRequired=False, LeaseMs=3000, ThawMs=300, PaceMs=100, HarmMs=4000)


def pick_network():
    """Returns the first three numbers of a loopback network that is not used."""
    for _ in range(100):
        network = f"127.{random.randint(2, 250)}.{random.randint(1, 250)}"
        try:
            for n in (1, 11, 12, 13):
                with socket.socket() as probe:
                    probe.bind((f"{network}.{n}", METRICS_PORT))
            return network
        except OSError:
            continue
    raise RuntimeError("no loopback network is free")


class Worker:
    def __init__(self, deployment, name, service, labels, cpu, guards=True,
                 stop_ms=0):
        self.deployment = deployment
        self.name = name
        self.settings = {
            "id": "i-" + name, "machine": "m-" + name, "service": service,
            "address": deployment.free_address(2), "zone": "namche",
            "labels": labels, "cpu": cpu, "guards": guards, "stop_ms": stop_ms,
            "heartbeat_ms": HEARTBEAT_MS, "private": deployment.private,
            "log": os.path.join(deployment.directory, name + ".log")}
        self.process = None

    def start(self, **changes):
        self.settings.update(changes)
        self.process = self.deployment.spawn(
            [sys.executable, os.path.join(HERE, "worker_standin.py"),
             json.dumps(self.settings)])

    def crash(self):
        self.deployment.record("crash", worker=self.settings["id"])
        self.process.kill()
        self.process.wait()

    def events(self):
        try:
            with open(self.settings["log"]) as lines:
                return [json.loads(line) for line in lines if line.endswith("\n")]
        except FileNotFoundError:
            return []


class Entry:
    def __init__(self, deployment, number, store):
        self.deployment = deployment
        self.node = f"front-namche-{number}"
        ip = f"{deployment.network}.{10 + number}"
        self.front = f"{ip}:8340"
        self.readiness = f"{ip}:8343"
        self.settings = os.path.join(deployment.directory, self.node + ".toml")
        with open(self.settings, "w") as out:
            out.write(deployment.settings_text(self.node, ip,
                                               number == 1, store))
        self.log = open(os.path.join(deployment.directory, self.node + ".log"), "a")
        self.process = None

    def start(self):
        with open(os.path.join(ROOT, "deploy/system.toml"), "rb") as file:
            command = tomllib.load(file)["roles"]["entry"]["run"].split(" ")
        environment = {name: os.environ[name]
                       for name in ("PATH", "HOME", "LANG") if name in os.environ}
        environment["HYSSOPBARROW_SETTINGS"] = self.settings
        self.process = subprocess.Popen(command, cwd=ROOT, env=environment,
                                        stdout=self.log, stderr=self.log)
        self.deployment.processes.append(self.process)

    def is_ready(self):
        try:
            connection = http.client.HTTPConnection(self.readiness, timeout=1)
            connection.request("GET", "/readiness")
            return connection.getresponse().status == 200
        except OSError:
            return False

    def log_has(self, event):
        with open(self.log.name) as lines:
            return [line for line in map(parse_log, lines)
                    if line.get("event") == event]


def parse_log(line):
    try:
        return json.loads(line)
    except ValueError:
        return {}


class Deployment:
    """Use with `with`; ends all processes that it has started."""

    def __init__(self, folder, routes, services, tenants, advice=(20, 2, 3000)):
        self.folder = folder
        self.routes, self.services, self.tenants = routes, services, tenants
        self.advice = advice
        self.processes, self.workers, self.entries = [], [], []
        self.lines = []
        self.lock = threading.Lock()
        self.began = time.monotonic()
        self.directory = tempfile.mkdtemp(prefix="hyssopbarrow-review-")
        self.network = pick_network()
        self.public = self.free_address(1)
        self.turned_away = self.free_address(1)
        self.private = self.free_address(1)
        self.version = 0

    def __enter__(self):
        return self

    def __exit__(self, *_):
        # The platform's stand-in is the first; the others still call it.
        for process in reversed(self.processes):
            if process.poll() is None:
                process.send_signal(signal.SIGCONT)
                process.kill()
            process.wait()
        self.write_record()
        if os.environ.get("KEEP"):
            print("kept", self.directory)
        else:
            shutil.rmtree(self.directory)

    def free_address(self, host):
        ip = f"{self.network}.{host}"
        return f"{ip}:{httpd.free_port(ip)}"

    def spawn(self, command, **options):
        process = subprocess.Popen(command, stdin=subprocess.PIPE,
                                   stdout=subprocess.PIPE, text=True, **options)
        self.processes.append(process)
        return process

    def record(self, what, **fields):
        with self.lock:
            self.lines.append({"t": time.monotonic(), "event": what, **fields})

    def write_record(self):
        lines = list(self.lines)
        for worker in self.workers:
            lines += worker.events()
        lines.sort(key=lambda line: line["t"])
        with open(os.path.join(self.folder, "record.txt"), "w") as out:
            for line in lines:
                line = dict(line)
                out.write(f"{line.pop('t') - self.began:9.3f} s  "
                          f"{line.pop('event'):12} "
                          f"{json.dumps(line) if line else ''}\n")

    def settings_text(self, node, ip, bootstrap, store):
        bounds = "\n".join(f"{name} = {json.dumps(value)}"
                           for name, value in BOUNDS.items())
        return f"""Node = "{node}"
Role = "entry"
MachineClass = "front"
Serves = ["front"]
Ip = "{ip}"
Zone = "namche"
Region = "khumbu"
InternalPorts = [7000, 7015]
Seeds = []
Bootstrap = {json.dumps(bootstrap)}
InFailureBudget = false
Discovery = "platform"
Entry = "vip"
HeartbeatMs = {HEARTBEAT_MS}
Contracts = ["base","drain","config","cost","recover","sched","tenants","quota","platform","advice","upkeep","sharing"]
Orders = "invocation"
Advice = "{self.public}"
[Zones]
namche = "khumbu"
[Listen]
Front = "{ip}:8340"
Readiness = "{ip}:8343"
[Limits]
CpuShare = 0.25
Cores = 1
MemoryMb = 260
MaxFds = 4100
LinkMbps = 1000.0
DiskMb = 0
[FaultTolerance]
Machines = 2
Zones = 1
Regions = 0
[Bounds]
{bounds}
[platform]
Address = "{store}"
form = "table"
WritesPerS = 600
ReadsPerS = 2000
TxMs = 3.0
PartitionWritesS = 300
RowBytes = 65536
Across = true
HistoryS = 20
BlobBytes = 8388608
BlobMs = 25.0
BlobMbS = 80.0
[Cloud]
Address = "{self.public}"
RatePerS = 64.0
Duties = []
DutyPerS = 64.0
"""

    def start(self, entries=2):
        platform = self.spawn([
            sys.executable, os.path.join(HERE, "platform_standin.py"),
            json.dumps({"public": self.public, "private": self.private,
                        "turned_away": self.turned_away,
                        "tx_ms": 3.0, "decide_ms": self.advice[0],
                        "each_ms": self.advice[1], "valid_ms": self.advice[2]})])
        if platform.stdout.readline().strip() != "ready":
            raise RuntimeError("the platform's stand-in did not start")
        threading.Thread(target=self._read_platform_events,
                         args=(platform.stdout,), daemon=True).start()
        self.put_config()
        for worker in self.workers:
            worker.start()
        for _ in range(entries):
            self.add_entry(self.public)
        self.wait(lambda: all(it.is_ready() for it in self.entries), 20,
                  "the entry hosts are ready")
        self.wait(self.owner, 20, "an entry host owns the fleet")

    def add_entry(self, store):
        """Starts an entry host that uses the store at address `store`."""
        entry = Entry(self, len(self.entries) + 1, store)
        self.entries.append(entry)
        entry.start()
        return entry

    def _read_platform_events(self, lines):
        for line in lines:
            event = json.loads(line)
            with self.lock:
                self.lines.append(event)

    def add_worker(self, name, service, labels, cpu, **options):
        worker = Worker(self, name, service, labels, cpu, **options)
        self.workers.append(worker)
        return worker

    def wait(self, condition, timeout_s, what):
        deadline = time.monotonic() + timeout_s
        while time.monotonic() < deadline:
            if value := condition():
                return value
            time.sleep(0.01)
        raise RuntimeError("timeout: " + what)

    def private_call(self, path, value):
        connection = http.client.HTTPConnection(self.private, timeout=10)
        connection.request("POST", path, json.dumps(value))
        return json.loads(connection.getresponse().read())

    def rows(self, table, part):
        connection = http.client.HTTPConnection(self.private, timeout=10)
        connection.request("GET", f"/rows-get?Table={table}&part={part}")
        return {row["Key"]: base64.b64decode(row["Value"]) for row in
                json.loads(connection.getresponse().read())["rows"]}

    def put_config(self):
        self.version += 7
        value = {"Version": self.version, "Routes": self.routes,
                 "Services": self.services, "Tenants": self.tenants,
                 "Limits": {}}
        self.private_call("/rows-tx", {"SetKeys": [{
            "Table": "op", "part": "", "Key": "config",
            "Value": base64.b64encode(json.dumps(value).encode()).decode()}]})
        self.record("config", version=self.version)

    def owner(self):
        """Returns the entry host that holds the lease; None if it is free."""
        row = self.rows("owner", "fleet").get("lease")
        lease = json.loads(row) if row else {"released": True}
        if lease["released"]:
            return None
        node = lease["holder"].split("@")[0]
        return next(it for it in self.entries if it.node == node)

    def call(self, entry, method, route, job="", body=None, key="key-a",
             timeout_s=3):
        """Sends one call; returns status and body, or None and the error."""
        path = route["PathPrefix"] + job
        self.record("call", method=method, path=path, to=entry.node,
                    **({"body": body} if body else {}))
        try:
            connection = http.client.HTTPConnection(entry.front,
                                                    timeout=timeout_s)
            connection.request(
                method, path, json.dumps(body) if body is not None else None,
                {"Host": route["Host"], "Authorization": "Token " + key,
                 "Content-Type": "application/json",
                 "X-Hyssopbarrow-Request-Timeout-Ms": str(timeout_s * 1000)})
            response = connection.getresponse()
            status, data = response.status, response.read()
            connection.close()
        except OSError as error:
            status, data = None, str(error).encode()
        answer = parse_log(data)
        self.record("answer", method=method, path=path, status=status,
                    body=answer or data.decode("latin-1"))
        return status, answer

    def submit(self, entry, route, job, steps, tasks, **options):
        """Hands a job in until it is accepted, as clients do after no answer."""
        body = {"Spec": json.dumps(tasks), "Steps": steps}
        for _ in range(20):
            status, _ = self.call(entry, "POST", route, job, body, **options)
            if status == 200:
                return
            time.sleep(0.2)
        raise RuntimeError(f"job {job} was not accepted")

    def state(self, entry, route, job, **options):
        status, answer = self.call(entry, "GET", route, job, **options)
        return answer.get("State") if status == 200 else status


def new_id():
    return f"{random.getrandbits(64):016x}"


def route(name, service, **changes):
    return {"Name": "r-" + name, "Host": name + ".example",
            "PathPrefix": f"/{name}/", "Kind": "unsafe", "TimeoutMs": 3000,
            "TargetLatencyMs": 600, "Priority": 1, "Service": service,
            "MaxAttempts": 3, "SlackFactor": 1.6, "Public": False, **changes}


def tenant(name, cpu=0):
    return {"Name": name, "ApiKeys": ["key-" + name], "Weight": 1,
            "UpperLimit": {"Cpu": cpu, "MemMb": 0, "Gpu": 0}}


def stop(*_):
    raise RuntimeError("stopped by a signal")


def main(play):
    """Runs `play`, which returns HELD or BROKEN, and exits with the result."""
    signal.signal(signal.SIGTERM, stop)
    try:
        result = play()
    except Exception as error:  # The case could not run.
        print("not run:", repr(error))
        result = NOT_RUN
    print({HELD: "the rule held", BROKEN: "the rule is broken",
           NOT_RUN: "not run"}[result])
    sys.exit(result)
