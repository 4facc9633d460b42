"""Stand-ins for the users' platform: its store, its machines, its advice service
and workers. They run in one process on loopback addresses and the real clock.

They do what the users' pages say of a sound platform and sound workers. What a
case disturbs is done by the case itself, through the methods and hooks here.
"""

import asyncio
import base64
import json
import os
import random
import shutil
import signal
import subprocess
import tempfile
import time
import traceback
import urllib.parse

ENTRY = "target/platform/hyssopbarrow-entry"


def now_ms():
    return int(time.monotonic() * 1000)


class Record:
    """Writes what was sent, answered and run, one JSON object a line."""

    def __init__(self, path):
        self.out = open(path, "w")
        self.start = time.monotonic()

    def seconds(self):
        return round(time.monotonic() - self.start, 4)

    def __call__(self, event, **fields):
        self.out.write(json.dumps({"t": self.seconds(), "event": event, **fields}) + "\n")

    def close(self):
        self.out.close()


async def read_message(reader):
    """Reads one HTTP/1.1 message; returns first line, headers and body, or None."""
    head = await reader.readuntil(b"\r\n\r\n")
    lines = head.decode("latin-1").split("\r\n")
    headers = {}
    for line in lines[1:]:
        if ":" in line:
            name, value = line.split(":", 1)
            headers[name.strip().lower()] = value.strip()
    size = int(headers.get("content-length", "0"))
    body = await reader.readexactly(size) if size else b""
    return lines[0], headers, body


class HttpServer:
    """Serves `handle(method, path, query, headers, body)`, which returns a status
    and a body, or None to close the connection without an answer."""

    def __init__(self, handle):
        self.handle = handle
        self.server = None
        self.tasks = set()
        self.host, self.port = None, None

    async def start(self, host, port=0):
        self.server = await asyncio.start_server(self._serve, host, port, limit=1 << 22)
        self.host, self.port = self.server.sockets[0].getsockname()[:2]

    @property
    def address(self):
        return f"{self.host}:{self.port}"

    async def _serve(self, reader, writer):
        task = asyncio.current_task()
        self.tasks.add(task)
        try:
            while True:
                first, headers, body = await read_message(reader)
                method, target, _ = first.split(" ", 2)
                path, _, query = target.partition("?")
                answer = await self.handle(method, path, dict(urllib.parse.parse_qsl(
                    query, keep_blank_values=True)), headers, body)
                if answer is None:
                    break
                status, value = answer
                data = b"" if value is None else json.dumps(value).encode()
                writer.write((f"HTTP/1.1 {status} X\r\nContent-Type: application/json\r\n"
                              f"Content-Length: {len(data)}\r\n\r\n").encode() + data)
                await writer.drain()
                if headers.get("connection", "").lower() == "close":
                    break
        except (asyncio.IncompleteReadError, ConnectionError, asyncio.CancelledError,
                asyncio.LimitOverrunError):
            pass
        finally:
            self.tasks.discard(task)
            writer.transport.abort() if self.server is None else writer.close()

    def stop(self):
        """Ends the listener and all connections, like a process that is killed."""
        server, self.server = self.server, None
        if server is not None:
            server.close()
        for task in list(self.tasks):
            task.cancel()


class Store:
    """The platform's metadata store."""

    def __init__(self, record, tx_ms=3.0):
        self.record = record
        self.tx_ms = tx_ms
        self.rows = {}      # (table, part, key) -> (value, version)
        self.history = []   # (version, table, part, key, value or None)
        self.version = 0
        self.changed = asyncio.Event()
        self.server = HttpServer(self._handle)

    def apply(self, writes):
        """Applies [(table, part, key, value or None)] as one transaction."""
        self.version += 1
        for table, part, key, value in writes:
            if value is None:
                self.rows.pop((table, part, key), None)
            else:
                self.rows[table, part, key] = (value, self.version)
            self.history.append((self.version, table, part, key, value))
        self.changed.set()
        self.changed = asyncio.Event()

    def put(self, table, key, value, part=""):
        self.apply([(table, part, key, base64.b64encode(json.dumps(value).encode()).decode())])

    def remove(self, table, key, part=""):
        if (table, part, key) in self.rows:
            self.apply([(table, part, key, None)])

    def get_json(self, table, key, part=""):
        row = self.rows.get((table, part, key))
        return None if row is None else json.loads(base64.b64decode(row[0]))

    def _row(self, table, part, key):
        value, version = self.rows[table, part, key]
        return {"Table": table, "part": part, "Key": key, "Value": value, "Ver": version}

    async def _handle(self, method, path, query, headers, body):
        if path == "/rows-tx":
            return await self._transaction(json.loads(body))
        if path == "/rows-get":
            await asyncio.sleep(0.001)
            return self._get(query)
        if path == "/rows-feed":
            return await self._feed(query)
        return 404, None

    async def _transaction(self, body):
        await asyncio.sleep(self.tx_ms / 1000)
        place = lambda row: (row.get("Table", ""), row.get("part", ""), row.get("Key", ""))
        expect, sets, removes = (body.get(name, []) for name in ("Expect", "SetKeys", "Remove"))
        if len(expect) + len(sets) + len(removes) > 100:
            return 400, None
        if any(place(row)[0] in ("op", "servers") for row in sets + removes):
            return 403, None
        wrong = [row for row in expect
                 if self.rows.get(place(row), (None, 0))[1] != row.get("Ver", 0)]
        if wrong:
            rows = [self._row(*place(row)) for row in expect if place(row) in self.rows]
            return 412, {"rows": rows, "Ver": self.version, "NowMs": now_ms()}
        self.apply([(*place(row), row["Value"]) for row in sets] +
                   [(*place(row), None) for row in removes])
        return 200, {"Ver": self.version, "NowMs": now_ms()}

    def _get(self, query):
        table, part = query.get("Table", ""), query.get("part", "")
        first, end = query.get("From", ""), query.get("Target")
        limit = min(500, int(query.get("Limit", 500)))
        keys = sorted(key for t, p, key in self.rows if t == table and p == part
                      and key >= first and (end is None or key < end))
        rows = [self._row(table, part, key) for key in keys[:limit]]
        return 200, {"rows": rows, "Truncated": len(keys) > limit, "Ver": self.version,
                     "NowMs": now_ms()}

    async def _feed(self, query):
        table, since = query.get("Table", ""), int(query.get("DependsOn", 0))
        deadline = time.monotonic() + min(30000, int(query.get("WaitMs", 0))) / 1000
        while True:
            latest = {}
            for version, t, part, key, value in reversed(self.history):
                if version <= since:
                    break
                if t == table and (part, key) not in latest:
                    latest[part, key] = (version, value)
            left = deadline - time.monotonic()
            if latest or left <= 0:
                break
            changed = self.changed
            try:
                await asyncio.wait_for(changed.wait(), left)
            except asyncio.TimeoutError:
                pass
        rows = []
        for (part, key), (version, value) in sorted(latest.items(), key=lambda it: it[1][0]):
            row = {"Table": table, "part": part, "Key": key, "Ver": version}
            row.update({"Deleted": True} if value is None else {"Value": value})
            rows.append(row)
        return 200, {"rows": rows, "Ver": self.version, "NowMs": now_ms()}


class Worker:
    """A worker: one life of a machine. `work_ms(task)` gives how long a task runs
    and `fails(task, run)` whether it ends as failed."""

    stop_s = 0.05

    def __init__(self, platform, ident, machine, pool, cpu, mem, labels, host, port=0):
        self.platform, self.record = platform, platform.record
        if platform.quiet:
            self.record = lambda event, **fields: None
        self.ident, self.machine, self.pool = ident, machine, pool
        self.cpu, self.mem, self.labels = cpu, mem, labels
        self.host, self.port = host, port
        self.server = HttpServer(self._handle)
        self.up = False
        self.draining = False
        self.beats = None
        self.sequence = 0
        self.work_ms = platform.work_ms
        self.fails = platform.fails
        # Called before an order is carried out; may delay it or drop its answer.
        self.before = None

    def _reset(self):
        self.born = int(time.time() * 1000)
        self.clock_zero = time.monotonic() - 1.0
        self.running = {}     # task -> dict
        self.ended = []       # [number, task, run, how, saved]
        self.next_end = 1
        self.closed_run = {}  # task -> highest run that was stopped or ended
        self.token = 0
        self.deadline = 0
        self.news = asyncio.Event()
        self.life = random.getrandbits(32)
        self.sequence = 0

    def clock(self):
        return int((time.monotonic() - self.clock_zero) * 1000)

    async def start(self):
        self._reset()
        self.server = HttpServer(self._handle)
        await self.server.start(self.host, self.port)
        self.port = self.server.port
        self.up = True
        self.record("worker_up", worker=self.ident, born=self.born, machine=self.machine)
        self.beats = asyncio.create_task(self._beat())
        self.lapses = asyncio.create_task(self._lapse())

    def crash(self):
        """Ends at once. The store keeps its entry until heartbeats are missed."""
        if not self.up:
            return
        self.up = False
        self.record("worker_crashed", worker=self.ident,
                    running=[[t, r["run"]] for t, r in self.running.items()])
        for run in self.running.values():
            run["task_handle"].cancel()
        self.running = {}
        self.beats.cancel()
        self.lapses.cancel()
        self.server.stop()
        ident, life = self.ident, self.life
        asyncio.get_running_loop().call_later(
            3 * self.platform.heartbeat_s, lambda: self._expire(life))

    def _expire(self, life):
        if not self.up and self.life == life:
            self.platform.store.remove("servers", self.ident)

    async def _beat(self):
        while True:
            self.write_entry()
            await asyncio.sleep(self.platform.heartbeat_s)

    def write_entry(self):
        self.sequence += 1
        self.platform.store.put("servers", self.ident, {
            "Service": self.pool, "Address": self.server.address, "Zone": "namche",
            "Version": "v1", "Slots": 8, "State": "draining" if self.draining else "ready",
            "ColdRemainingMs": 0, "Capacity": {"Cpu": self.cpu, "MemMb": self.mem, "Gpu": 0},
            "Labels": self.labels, "ClockMs": self.clock(), "Sequence": self.sequence,
            "Machine": self.machine, "born": self.born})

    async def _lapse(self):
        while True:
            await asyncio.sleep(0.02)
            if self.running and self.clock() > self.deadline:
                for task in list(self.running):
                    self._end(task, "lapsed")

    def _extend(self, body):
        if "DeadlineMs" in body:
            limit = self.clock() + self.platform.hold_max_ms
            self.deadline = max(self.deadline, min(body["DeadlineMs"], limit))

    def _answer(self, status, **fields):
        return status, {"ClockMs": self.clock(), "born": self.born, **fields}

    async def _handle(self, method, path, query, headers, body):
        body = json.loads(body) if body else {}
        if self.before is not None:
            verdict = await self.before(self, path, body)
            if verdict == "drop":
                return None
        instance = headers.get("x-hyssopbarrow-target-instance", self.ident)
        if instance != self.ident:
            return 421, None
        token = body.get("FencingToken", 0)
        if token < self.token:
            return self._answer(409, Reason="fence")
        self.token = token
        if path == "/run-start":
            return self._start(body)
        if path == "/run-stop":
            return self._stop(body)
        if path == "/hold":
            return await self._hold(body)
        if path == "/pace":
            return self._answer(200)
        return 400, None

    def used(self):
        return (sum(run["cpu"] for run in self.running.values()),
                sum(run["mem"] for run in self.running.values()))

    def _start(self, body):
        task, run = body["Task"], body["Run"]
        current = self.running.get(task)
        if current is not None and current["run"] == run:
            self._extend(body)
            return self._answer(200)
        if run <= self.closed_run.get(task, 0) or (current is not None and run < current["run"]):
            self._extend(body)
            return self._refuse(body, "old")
        if body.get("DeadlineMs", 0) < self.clock():
            return self._refuse(body, "late")
        if not self.platform.ticket_valid(self, task, body.get("Ticket", "")):
            return self._refuse(body, "ticket")
        cpu, mem = self.platform.needs(task)
        used_cpu, used_mem = self.used()
        self._extend(body)
        over = used_cpu + cpu > self.cpu or used_mem + mem > self.mem
        if over and self.platform.rejects_overload:
            return self._refuse(body, "room")
        if current is not None:
            self._end(task, "stopped")
        self.running[task] = {"run": run, "cpu": cpu, "mem": mem, "since": time.monotonic(),
                              "task_handle": asyncio.create_task(self._work(task, run))}
        self.record("start", worker=self.ident, born=self.born, task=task, run=run, token=self.token)
        self.platform.on_start(self, task, run)
        return self._answer(200)

    def _refuse(self, body, reason):
        self.record("start_refused", worker=self.ident, task=body["Task"], run=body["Run"],
                    reason=reason)
        return self._answer(409, Reason=reason)

    async def _work(self, task, run):
        await asyncio.sleep(self.work_ms(task) / 1000)
        self._end(task, "failed" if self.fails(task, run) else "done")

    def _end(self, task, how):
        run = self.running.pop(task)
        if how not in ("done", "failed"):
            run["task_handle"].cancel()
        self.closed_run[task] = max(self.closed_run.get(task, 0), run["run"])
        self.ended.append([self.next_end, task, run["run"], how, ""])
        self.next_end += 1
        self.record("end", worker=self.ident, born=self.born, task=task, run=run["run"], how=how,
                    number=self.next_end - 1)
        self.platform.on_end(self, task, run["run"], how)
        self.news.set()
        self.news = asyncio.Event()

    def _stop(self, body):
        task, run = body["Task"], body["Run"]
        self.closed_run[task] = max(self.closed_run.get(task, 0), run)
        current = self.running.get(task)
        if current is not None and current["run"] == run:
            life = self.life
            def finish():
                now = self.running.get(task)
                if self.up and self.life == life and now is current:
                    self._end(task, "stopped")
            asyncio.get_running_loop().call_later(self.stop_s, finish)
        return self._answer(200)

    async def _hold(self, body):
        cursor = body.get("AckCursor", 0)
        for end in self.ended:
            if end[0] <= cursor:
                self.record("acknowledged", worker=self.ident, born=self.born, number=end[0],
                            task=end[1], run=end[2], how=end[3])
        self.ended = [end for end in self.ended if end[0] > cursor]
        self._extend(body)
        deadline = time.monotonic() + min(2000, body.get("WaitMs", 0)) / 1000
        while not self.ended and time.monotonic() < deadline:
            news = self.news
            try:
                await asyncio.wait_for(news.wait(), deadline - time.monotonic())
            except asyncio.TimeoutError:
                break
        running = []
        for task, run in self.running.items():
            percent = 100 * (time.monotonic() - run["since"]) * 1000 / max(1, self.work_ms(task))
            running.append([task, run["run"], "", min(100, int(percent)), run["cpu"]])
        return self._answer(200, Running=running, Ended=self.ended[:500])


class Platform:
    """Store, machines, advice and workers of a small deployment."""

    heartbeat_s = 1.5
    upkeep_s = 2.0
    hold_max_ms = 10000
    rejects_overload = True
    # Leaves orders and ends out of the record, where there are very many.
    quiet = False

    def __init__(self, record, network):
        self.record = record
        self.network = network  # Loopback addresses begin with it.
        self.store = Store(record)
        self.cloud = HttpServer(self._cloud)
        self.advice = HttpServer(self._advise)
        self.workers = {}
        self.in_upkeep = set()   # Machines.
        self.maintained = set()  # (machine, wave) of which the upkeep has begun.
        self.specs = {}     # job -> body as sent by a client
        self.tickets = {}   # (worker, life, step) -> (ticket, valid until)
        self.advised = 0
        self.needs_ticket = lambda step: False
        self.allowed = lambda step, worker: True
        self.valid_ms = 3000
        self.advice_lock = asyncio.Lock()
        self.work_ms = lambda task: 500
        self.fails = lambda task, run: False
        self.on_start = lambda worker, task, run: None
        self.on_end = lambda worker, task, run, how: None

    async def start(self):
        await self.store.server.start(f"{self.network}.1")
        await self.cloud.start(f"{self.network}.2")
        await self.advice.start(f"{self.network}.3")

    async def add_worker(self, ident, pool, cpu=16000, mem=65536, rack="r1", machine=None):
        host = f"{self.network}.{100 + len(self.workers)}"
        worker = Worker(self, ident, machine or f"m-{ident}", pool, cpu, mem, ["a", rack], host)
        self.workers[ident] = worker
        await worker.start()
        return worker

    def needs(self, task):
        job, _, step, _ = task.split(".")
        step = self.specs[job]["Steps"][int(step)]
        return step.get("Cpu", 0), step.get("MemMb", 0)

    async def _cloud(self, method, path, query, headers, body):
        if path == "/machines":
            rows = [{"Machine": w.machine, "Pool": w.pool, "State": self.machine_state(w),
                     "Zone": "namche", "Labels": w.labels,
                     "Capacity": {"Cpu": w.cpu, "MemMb": w.mem, "Gpu": 0},
                     "Id": w.ident if w.up else ""}
                    for w in self.workers.values()]
            return 200, {"Machines": rows, "NextToken": None}
        body = json.loads(body)
        machine, wave = body["Machine"], body.get("Wave")
        worker = next((w for w in self.workers.values() if w.machine == machine), None)
        token = headers.get("x-hyssopbarrow-fencing-token")
        status, answer = self._order(path, worker, wave)
        self.record("machine_order", path=path, machine=machine, wave=wave, token=token,
                    status=status)
        return status, answer

    def machine_state(self, worker):
        if worker.machine in self.in_upkeep:
            return "upkeep"
        return "up" if worker.up else "down"

    def _order(self, path, worker, wave):
        """Carries an order for a machine out. Moves are turned away: no machine of
        these deployments may change its pool."""
        if worker is None:
            return 400, None
        if path != "/machine-upkeep":
            return 409, {"Reason": "busy"}
        machines = (self.store.get_json("op", f"wave/{wave}") or {}).get("Machines", [])
        if worker.machine not in machines:
            return 409, {"Reason": "wave"}
        if (worker.machine, wave) in self.maintained:
            return 200, None
        if not worker.up:
            return 409, {"Reason": "busy"}
        self.maintained.add((worker.machine, wave))
        self.in_upkeep.add(worker.machine)
        worker.crash()
        self.store.remove("servers", worker.ident)
        asyncio.get_running_loop().call_later(
            self.upkeep_s, lambda: asyncio.ensure_future(self._end_upkeep(worker)))
        return 200, None

    async def _end_upkeep(self, worker):
        """A new worker with an id of its own joins on the machine."""
        del self.workers[worker.ident]
        worker.ident = f"i-{random.getrandbits(40):010x}"
        worker.port = 0
        self.workers[worker.ident] = worker
        await worker.start()
        self.in_upkeep.discard(worker.machine)

    async def _advise(self, method, path, query, headers, body):
        body = json.loads(body)
        step, names = body["Step"], body["Workers"]
        async with self.advice_lock:
            await asyncio.sleep(0.002)
        self.advised += 1
        good = []
        for name in names:
            worker = self.workers.get(name)
            if worker is None or not worker.up or not self.allowed(step, worker):
                continue
            ticket = f"{random.getrandbits(64):016x}"
            self.tickets[name, worker.life, step] = (ticket,
                                                     time.monotonic() + self.valid_ms / 1000)
            good.append([name, ticket])
        if not self.quiet:
            self.record("advice", step=step, workers=names, good=[row[0] for row in good])
        return 200, {"Good": good, "ValidMs": self.valid_ms}

    def ticket_valid(self, worker, task, ticket):
        step = task.rsplit(".", 1)[0]
        if not self.needs_ticket(step):
            return True
        known = self.tickets.get((worker.ident, worker.life, step))
        return known is not None and known[0] == ticket and time.monotonic() < known[1]

    def configure(self, version, routes, services, tenants):
        self.record("configuration", version=version, routes=[r["Name"] for r in routes])
        self.store.put("op", "config", {
            "Version": version, "Routes": routes,
            "Services": [{"Name": name, "HealthPath": "/health", "MaxConnections": 64,
                          "Protocol": "h1", "Tls": False,
                          "RejectsOverload": self.rejects_overload,
                          "Spare": False} for name in services],
            "Limits": {"MaxHeaderBytes": 16384, "MaxBodyBytes": 262144,
                       "HeaderTimeoutMs": 3000, "IdleTimeoutMs": 15000},
            "Tenants": tenants})


def route(name, prefix, service, **fields):
    return {"Name": name, "Host": "pule25.example", "PathPrefix": prefix, "Kind": "unsafe",
            "TimeoutMs": 3000, "TargetLatencyMs": 600, "Priority": 0, "Service": service,
            "MaxAttempts": 3, "SlackFactor": 1.6, "Public": False, **fields}


TENANT = {"Name": "cugo130", "ApiKeys": ["sjnbanfqasnmgkcuyj8p"], "Weight": 10,
          "UpperLimit": {"Cpu": 0, "MemMb": 0, "Gpu": 0}}

SETTINGS = """Node = "front-namche-{number}"
Role = "entry"
MachineClass = "front"
Serves = ["front"]
Ip = "{ip}"
Zone = "namche"
Region = "khumbu"
InternalPorts = [{internal},{internal_end}]
Seeds = []
Bootstrap = true
InFailureBudget = false
Discovery = "platform"
Entry = "vip"
HeartbeatMs = 1500
Contracts = ["base","drain","config","cost","recover","sched","tenants","quota","platform","advice","upkeep","sharing"]
Orders = "invocation"
{advice}
[Zones]
namche = "khumbu"
[Listen]
Front = "{ip}:{front}"
Readiness = "{ip}:{readiness}"
Control = "{ip}:{control}"
[Limits]
CpuShare = {cpu_share}
Cores = 1
MemoryMb = {memory_mb}
MaxFds = 4100
LinkMbps = 1000.0
DiskMb = 0
[FaultTolerance]
Machines = 2
Zones = 1
Regions = 0
[Bounds]
SeedLagS = 3
AddrReuseS = 2
ContactMs = 3000
AckMs = 4000
CatchUpS = 4
DrainMs = 2000
GraceS = 6
LossSlackMs = 200
ConfigApplyMs = 2000
RollbackSlackMs = 250
MaxSkewMs = 5000
StrictRevoke = false
RevokeMs = 5000
QuotaWindowS = 5
QuotaOverage = 0.1
QuotaSlack = 20
RecoveryS = 12
HoldMaxMs = 10000
StopMs = 900
GangTimeoutMs = 3000
cancel_ms = 3000
visible_ms = 3000
early_ms = 250
finish_s = 14
status_s = 120
SpreadFactor = 3
CheckpointS = 1
RestoreMs = 100
NoticeMs = 4500
MoveS = 1.5
UpkeepS = 2
FencingRequired = false
LeaseMs = 3000
ThawMs = 300
PaceMs = 100
HarmMs = 4000
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
Address = "{cloud}"
RatePerS = 64.0
Duties = []
DutyPerS = 64.0
"""


class Entry:
    """An entry host: the project's program with the deploy file's command."""

    def __init__(self, platform, number, directory, memory_mb=260, with_advice=False,
                 cpu_share=0.25):
        self.platform, self.number = platform, number
        self.ip = f"{platform.network}.{10 + number}"
        self.front = f"{self.ip}:8340"
        self.path = os.path.join(directory, f"boot-{number}.toml")
        self.log_path = os.path.join(directory, f"entry-{number}.log")
        with open(self.path, "w") as out:
            out.write(SETTINGS.format(
                number=number, ip=self.ip, internal=7000, internal_end=7015, front=8340,
                readiness=8343, control=8345, memory_mb=memory_mb,
                cpu_share=cpu_share,
                store=platform.store.server.address, cloud=platform.cloud.address,
                advice=f'Advice = "{platform.advice.address}"' if with_advice else ""))
        self.process = None

    def start(self):
        self.platform.record("entry_started", entry=self.number)
        self.process = subprocess.Popen(
            [ENTRY], stdout=open(self.log_path, "a"), stderr=subprocess.STDOUT,
            stdin=subprocess.DEVNULL,
            env={"PATH": os.environ["PATH"], "HOME": "/tmp", "LANG": "C",
                 "HYSSOPBARROW_SETTINGS": self.path})

    def kill(self):
        if self.process is not None and self.process.poll() is None:
            self.process.send_signal(signal.SIGCONT)
            self.process.kill()
            self.process.wait()

    def log_lines(self, event):
        with open(self.log_path) as source:
            return [json.loads(line) for line in source
                    if line.startswith("{") and f'"event":"{event}"' in line]


    def memory_mb(self):
        """Resident memory of the process, in MB; 0 if it does not run."""
        try:
            with open(f"/proc/{self.process.pid}/status") as status:
                for line in status:
                    if line.startswith("VmRSS:"):
                        return int(line.split()[1]) / 1024
        except OSError:
            pass
        return 0.0


async def limit_memory(record, entries, limits_mb, ends, restart_s):
    """Does what the platform does with processes over their limits, and counts these
    in `ends`, by entry."""
    next_look = 0.0
    while True:
        used = [round(entry.memory_mb(), 1) for entry in entries]
        if time.monotonic() >= next_look:
            next_look = time.monotonic() + 1
            record("memory", mb=used)
        for entry, mb, limit in zip(entries, used, limits_mb):
            if mb <= limit:
                continue
            record("over_memory", entry=entry.number, mb=mb, limit_mb=limit)
            ends[entry.number] += 1
            entry.kill()
            asyncio.get_running_loop().call_later(restart_s, entry.start)
        await asyncio.sleep(0.05)


async def call(address, method, path, body=None, timeout_s=3.0, token=TENANT["ApiKeys"][0]):
    """One client request on a new connection; returns status and body, or None."""
    host, port = address.split(":")
    data = b"" if body is None else json.dumps(body).encode()
    head = (f"{method} {path} HTTP/1.1\r\nHost: pule25.example\r\n"
            f"Authorization: Token {token}\r\nContent-Type: application/json\r\n"
            f"X-Hyssopbarrow-Request-Timeout-Ms: {int(timeout_s * 1000)}\r\n"
            f"Content-Length: {len(data)}\r\nConnection: close\r\n\r\n").encode()
    writer = None
    try:
        async with asyncio.timeout(timeout_s):
            reader, writer = await asyncio.open_connection(host, int(port))
            writer.write(head + data)
            first, _, reply = await read_message(reader)
            return int(first.split()[1]), json.loads(reply) if reply else None
    except (OSError, asyncio.TimeoutError, asyncio.IncompleteReadError):
        return None
    finally:
        if writer is not None:
            writer.close()


class Client:
    """Hands in jobs and asks for them, and records each answer."""

    def __init__(self, platform, entries):
        self.platform, self.entries = platform, entries
        self.turn = 0

    def _front(self):
        live = [e for e in self.entries if e.process is not None and e.process.poll() is None]
        self.turn += 1
        return live[self.turn % len(live)].front

    async def submit(self, prefix, body, job=None, tries=5):
        job = job or f"{random.getrandbits(64):016x}"
        self.platform.specs[job] = body
        for _ in range(tries):
            reply = await call(self._front(), "POST", prefix + job, body)
            self.platform.record("job_sent", job=job, status=reply and reply[0])
            if reply is not None and 200 <= reply[0] < 300:
                return job
            await asyncio.sleep(0.5)
        return None

    async def state(self, prefix, job, quiet=False):
        """Returns the state that is shown, the status if it is no 200, or None."""
        reply = await call(self._front(), "GET", prefix + job)
        shown = None if reply is None else reply[1].get("State") if reply[0] == 200 else reply[0]
        if not quiet:
            self.platform.record("job_state", job=job, shown=shown)
        return shown

    async def cancel(self, prefix, job):
        reply = await call(self._front(), "DELETE", prefix + job)
        self.platform.record("job_cancelled", job=job, status=reply and reply[0])
        return reply and reply[0]


async def wait_ready(entry, timeout_s=15.0):
    deadline = time.monotonic() + timeout_s
    while time.monotonic() < deadline:
        reply = await call(f"{entry.ip}:8343", "GET", "/readiness", timeout_s=1.0)
        if reply is not None and reply[0] == 200:
            return True
        await asyncio.sleep(0.1)
    return False


def run_case(path, run):
    """Runs a case in a temporary folder, with its record beside `path`. Returns its
    exit code; 2 if it could not run."""
    directory = tempfile.mkdtemp(prefix="hyssopbarrow-review-")
    record = Record(os.path.join(os.path.dirname(os.path.abspath(path)), "record.txt"))
    try:
        return asyncio.run(run(record, directory))
    except Exception:
        traceback.print_exc()
        return 2
    finally:
        record.close()
        if os.environ.get("KEEP"):
            print(directory)
        else:
            shutil.rmtree(directory, ignore_errors=True)


def free_network():
    """First three numbers of loopback addresses that no other run is likely to use."""
    return f"127.{random.randint(10, 250)}.{random.randint(1, 250)}"
