"""Starts a small deployment on loopback: a platform, workers and entry hosts."""

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
import traceback

import wire
from platform_store import Platform

HERE = os.path.dirname(os.path.abspath(__file__))
ROOT = os.path.dirname(os.path.dirname(HERE))
ENTRY = "target/platform/hyssopbarrow-entry"  # As the deploy file runs it.
ZONES = ("namche", "lukla", "tengboche")
HOST = "pule25.example"
METRICS_PORT = 9464
BROKEN, HELD, COULD_NOT_RUN = 1, 0, 2
OPEN_WORLDS = []  # Closed at the end of the test.


class CannotRun(Exception):
    """The deployment did not start, so the case shows nothing."""


def free_port(ip):
    with socket.socket() as probe:
        probe.bind((ip, 0))
        return probe.getsockname()[1]


def free_ports(ip, count):
    """Returns the first of `count` free ports in a row."""
    for _ in range(200):
        first = random.randint(20_000, 30_000)
        probes = []
        try:
            for n in range(count):
                probes.append(socket.socket())
                probes[-1].bind((ip, first + n))
            return first
        except OSError:
            continue
        finally:
            for probe in probes:
                probe.close()
    raise CannotRun("no free ports")


def free_ip():
    """Returns a loopback address whose port for metrics is free."""
    for _ in range(200):
        ip = "127.%d.%d.%d" % (random.randint(16, 250), random.randint(1, 250),
                               random.randint(2, 250))
        with socket.socket() as probe:
            try:
                probe.bind((ip, METRICS_PORT))
                return ip
            except OSError:
                continue
    raise CannotRun("no free loopback address")


class World:
    """A deployment; stops all processes that it started when it is closed."""

    def __init__(self, case_directory, routes, services, tenants, entries=3,
                 bounds=None):
        """`routes`, `services` and `tenants` are lists as in `op/config`."""
        OPEN_WORLDS.append(self)
        self.started_at = time.monotonic()
        self.processes = []
        self.directory = tempfile.mkdtemp(prefix="hyssopbarrow-review-")
        self.record_file = open(os.path.join(case_directory, "record.txt"), "w")
        self.lock = threading.Lock()
        self.events = []  # What workers did, in the order of arrival.
        self.workers = {}  # Id: process and options.
        self.entries = []
        self.ip = free_ip()
        self.bounds = {"GraceS": 6, "HoldMaxMs": 10_000, "StopMs": 900,
                       "MoveS": 1.5, "UpkeepS": 2, "LeaseMs": 3000,
                       "status_s": 120, "ContactMs": 3000, **(bounds or {})}
        self.platform = Platform(*(f"{self.ip}:{free_port(self.ip)}"
                                   for _ in range(4)))
        self.platform.start()
        self.platform.put("op", "config",
                          {"Version": 1, "Routes": routes, "Services": services,
                           "Tenants": tenants, "Limits": {}})
        for n in range(entries):
            self._start_entry(n)

    def record(self, text):
        with self.lock:
            if self.record_file.closed:
                return
            at = time.monotonic() - self.started_at
            self.record_file.write(f"{at:8.3f} {text}\n")
            self.record_file.flush()

    def _start_entry(self, number):
        ip, zone = free_ip(), ZONES[number % len(ZONES)]
        name = f"front-{zone}-{number + 1}"
        first = free_ports(ip, 8)
        ports = {"front": first + 4, "readiness": first + 5, "control": first + 6}
        bounds = "\n".join(f"{k} = {v}" for k, v in self.bounds.items())
        path = os.path.join(self.directory, name + ".toml")
        with open(path, "w") as out:
            out.write(f"""Node = "{name}"
Role = "entry"
MachineClass = "front"
Serves = ["front"]
Ip = "{ip}"
Zone = "{zone}"
Region = "khumbu"
InternalPorts = [{first}, {first + 3}]
Seeds = []
Bootstrap = true
Discovery = "platform"
HeartbeatMs = 1500
Orders = "invocation"
Advice = "{self.platform.advice_address}"
[Zones]
namche = "khumbu"
lukla = "khumbu"
tengboche = "khumbu"
[Listen]
Front = "{ip}:{ports['front']}"
Readiness = "{ip}:{ports['readiness']}"
Control = "{ip}:{ports['control']}"
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
Address = "{self.platform.address}"
form = "table"
WritesPerS = 600
ReadsPerS = 2000
TxMs = 3.0
PartitionWritesS = 300
RowBytes = 65536
Across = true
HistoryS = 20
[Cloud]
Address = "{self.platform.cloud_address}"
RatePerS = 64.0
Duties = []
DutyPerS = 64.0
""")
        entry = {"name": name, "settings": path,
                 "front": f"{ip}:{ports['front']}",
                 "readiness": f"{ip}:{ports['readiness']}",
                 "log": os.path.join(self.directory, name + ".log")}
        self.run_entry(entry)
        self.entries.append(entry)

    def run_entry(self, entry):
        """Starts the program of an entry host, also after it has ended."""
        with open(entry["log"], "a") as log:
            entry["process"] = subprocess.Popen(
                [ENTRY], cwd=ROOT, stdout=log, stderr=log,
                env={"PATH": os.environ.get("PATH", ""),
                     "HYSSOPBARROW_SETTINGS": entry["settings"]})
        self.processes.append(entry["process"])
        self.record(f"started entry host {entry['name']}")

    def start_worker(self, worker, service, number, machine=None, listen=None,
                     **options):
        """Starts a worker process, on a new address unless `listen` is given."""
        machine = machine or f"m-{number:05x}"
        listen = listen or f"{self.ip}:{free_port(self.ip)}"
        zone = ZONES[number % len(ZONES)]
        rack = f"r{number % len(ZONES) + 1}-1"
        options.setdefault("store", self.platform.inner_address)
        command = [sys.executable, os.path.join(HERE, "worker.py"),
                   "--id", worker, "--machine", machine, "--listen", listen,
                   "--service", service, "--zone", zone, "--rack", rack]
        for name, value in options.items():
            command += ["--" + name, str(value)]
        process = subprocess.Popen(command, stdout=subprocess.PIPE, text=True)
        self.processes.append(process)
        self.workers[worker] = {
            "process": process, "listen": listen, "service": service,
            "machine": machine, "number": number, "options": options}
        self.platform.machines = [m for m in self.platform.machines
                                  if m["Machine"] != machine]
        self.platform.machines.append(
            {"Machine": machine, "Pool": service, "State": "up", "Zone": zone,
             "Labels": [options.get("kind", "a"), rack], "Id": worker,
             "Capacity": {"Cpu": options.get("cpu", 64_000),
                          "MemMb": options.get("mem", 256_000), "Gpu": 0}})
        threading.Thread(target=self._read_events, args=(process,),
                         daemon=True).start()

    def _read_events(self, process):
        for line in process.stdout:
            event = json.loads(line)
            details = " ".join(f"{k}={v}" for k, v in event.items()
                               if k not in ("at", "worker", "what"))
            with self.lock:
                self.events.append(event)
                if self.record_file.closed:
                    return
                at = event["at"] - self.started_at
                self.record_file.write(
                    f"{at:8.3f} worker {event['worker']}: {event['what']} "
                    f"{details}\n")

    def crash_worker(self, worker):
        """Kills a worker. Its runs end with it."""
        process = self.workers[worker]["process"]
        process.send_signal(signal.SIGKILL)
        process.wait()
        with self.lock:
            self.events.append({"at": time.monotonic(), "worker": worker,
                                "what": "crash"})
        self.record(f"killed worker {worker}")

    def restart_worker(self, worker):
        """Starts a worker again on its machine, with its id and address."""
        old = self.workers[worker]
        self.start_worker(worker, old["service"], old["number"],
                          machine=old["machine"], listen=old["listen"],
                          **old["options"])

    def wait_ready(self, timeout=20):
        """Waits until all entry hosts are ready and the owner uses all workers."""
        deadline = time.monotonic() + timeout
        while time.monotonic() < deadline:
            if any(e["process"].poll() is not None for e in self.entries):
                raise CannotRun("an entry host ended")
            if all(wire.call(e["readiness"], "GET", "/readiness",
                             timeout=1)[0] == 200 for e in self.entries):
                time.sleep(2)  # Time to find the workers.
                return
            time.sleep(0.1)
        raise CannotRun("the entry hosts did not become ready")

    def ready_entries(self):
        """Entry hosts in rotation, as the platform's balancer sees them."""
        return [e for e in self.entries
                if wire.call(e["readiness"], "GET", "/readiness",
                             timeout=1)[0] == 200]

    def submit(self, job, prefix, steps, key, attempts=5, timing=None):
        """Hands a job in as a client does, and again after no clear answer.
        `steps` are pairs of a step and what the workers do for its tasks;
        `timing` holds the fields of a timed job. Returns the last status."""
        body = {"Spec": json.dumps([work for _, work in steps]),
                "Steps": [step for step, _ in steps], **(timing or {})}
        status = 0
        for n in range(attempts):
            front = self.entries[(hash(job) + n) % len(self.entries)]["front"]
            status, _ = wire.call(
                front, "POST", prefix + job, body,
                {"Host": HOST, "Authorization": "Token " + key,
                 "X-Hyssopbarrow-Request-Timeout-Ms": "3000"}, timeout=3)
            self.record(f"client: POST {prefix}{job} -> {status}")
            if status == 200:
                break
            time.sleep(1)
        return status

    def state(self, job, prefix, key, quiet=False):
        """Asks for a job's state; returns it, or the status as text."""
        status, value = 0, {}
        for n in range(3):
            front = self.entries[(hash(job) + n) % len(self.entries)]["front"]
            status, value = wire.call(
                front, "GET", prefix + job, None,
                {"Host": HOST, "Authorization": "Token " + key,
                 "X-Hyssopbarrow-Request-Timeout-Ms": "3000"}, timeout=3)
            if status in (200, 410):
                break
        answer = value.get("State", str(status)) if status == 200 else str(status)
        if not quiet:
            self.record(f"client: GET {prefix}{job} -> {answer}")
        return answer

    def wait_for_event(self, condition, timeout):
        """Waits for an event of a worker for which `condition` holds."""
        deadline = time.monotonic() + timeout
        seen = 0
        while time.monotonic() < deadline:
            with self.lock:
                fresh, seen = self.events[seen:], len(self.events)
            for event in fresh:
                if condition(event):
                    return event
            time.sleep(0.002)
        return None

    def starts(self, job=None):
        with self.lock:
            return [e for e in self.events if e["what"] == "start"
                    and (job is None or e["task"].startswith(job + "."))]

    def ends(self, job=None, how=None):
        with self.lock:
            return [e for e in self.events if e["what"] == "end"
                    and (job is None or e["task"].startswith(job + "."))
                    and (how is None or e["how"] == how)]

    def runs(self):
        """All runs as (task, run, worker, start, end, how); an open run ends
        now, and one on a worker that crashed ends with the worker."""
        now = time.monotonic()
        open_runs, closed = {}, []
        with self.lock:
            events = sorted(self.events, key=lambda e: e["at"])
        for event in events:
            worker = event["worker"]
            if event["what"] == "start":
                open_runs[worker, event["task"], event["run"]] = event["at"]
            elif event["what"] == "end":
                start = open_runs.pop((worker, event["task"], event["run"]))
                closed.append((event["task"], event["run"], worker, start,
                               event["at"], event["how"]))
            elif event["what"] == "crash":
                for name in [n for n in open_runs if n[0] == worker]:
                    closed.append((name[1], name[2], worker, open_runs.pop(name),
                                   event["at"], "crash"))
        for (worker, task, run), start in open_runs.items():
            closed.append((task, run, worker, start, now, "open"))
        return closed

    def overlaps(self):
        """Pairs of runs of one task that were at work at the same time."""
        by_task = {}
        for run in self.runs():
            by_task.setdefault(run[0], []).append(run)
        found = []
        for runs in by_task.values():
            runs.sort(key=lambda r: r[3])
            for n, a in enumerate(runs):
                for b in runs[n + 1:]:
                    if b[3] < a[4]:
                        found.append((a, b))
        return found

    def starts_after_done(self):
        """Starts of a task after a run of it had ended `done`, an end that was
        noted, as `AckCursor` told the worker before its lease lapsed."""
        with self.lock:
            events = list(self.events)
        noted = {(e["task"], e["run"]) for e in events
                 if e["what"] == "noted" and e["how"] == "done"
                 and not e["lapsed"]}
        done = {}
        for event in events:
            is_done = event["what"] == "end" and event["how"] == "done"
            if is_done and (event["task"], event["run"]) in noted:
                at = done.setdefault(event["task"], event["at"])
                done[event["task"]] = min(at, event["at"])
        return [e for e in events if e["what"] == "start"
                and e["at"] > done.get(e["task"], e["at"])]

    def entry_log(self, *names):
        """Log lines of the entry hosts with one of these events."""
        lines = []
        for entry in self.entries:
            with open(entry["log"]) as source:
                for line in source:
                    try:
                        value = json.loads(line)
                    except ValueError:
                        continue
                    if value.get("event") in names:
                        lines.append(value)
        return sorted(lines, key=lambda v: v["unix_ms"])

    def close(self):
        for process in self.processes:
            if process.poll() is None:
                process.send_signal(signal.SIGCONT)
                process.kill()
            process.wait()
        OPEN_WORLDS.remove(self)
        self.record_file.close()
        if os.environ.get("KEEP") != "1":
            shutil.rmtree(self.directory, ignore_errors=True)


def run_case(case):
    """Runs `case(trouble)` and exits with the code that a review script has."""
    trouble = os.environ.get("TROUBLE", "1") != "0"
    signal.signal(signal.SIGTERM, lambda *_: sys.exit(COULD_NOT_RUN))
    result = COULD_NOT_RUN
    try:
        result = case(trouble)
    except CannotRun as error:
        print(f"could not run: {error}")
    except Exception:  # An error of the test shows nothing about the system.
        traceback.print_exc()
    finally:
        for world in list(OPEN_WORLDS):
            world.close()
    sys.exit(result)
