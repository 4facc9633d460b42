"""A stand-in for the platform: its store of rows and its list of machines.

Runs in a thread of the test. The system calls the store at `address`; operators
and workers call it at `inner_address`, where `op` and `servers` can be written.
"""

import asyncio
import base64
import collections
import json
import threading
import time

import wire

MAX_ENTRIES = 100
MAX_CALL_BYTES = 1_000_000
ROW_BYTES = 65_536
MAX_ROWS = 500
MAX_ADVICE_WORKERS = 100
TRANSACTION_S = 0.003
ANSWER_S = 0.001
SILENT_HEARTBEATS = 3
CLOSED_TABLES = ("op", "servers")  # The system may not write these.


class Row:
    def __init__(self, table, part, key, value, version):
        self.table, self.part, self.key = table, part, key
        self.value, self.version = value, version  # No value: the row is gone.

    def to_json(self):
        out = {"Table": self.table, "part": self.part, "Key": self.key,
               "Ver": self.version}
        if self.value is None:
            out["Deleted"] = True
        else:
            out["Value"] = self.value
        return out


class Platform:
    """The store, and the machines as `/machines` lists them."""

    def __init__(self, address, inner_address, cloud_address, advice_address,
                 heartbeat_ms=1500):
        self.address, self.inner_address = address, inner_address
        self.cloud_address, self.advice_address = cloud_address, advice_address
        self.allowed_workers = None  # By the policy of queues with advice.
        self.advice_timing = {"DecideMs": 20, "EachMs": 1, "ValidMs": 3000}
        self.advised = asyncio.Lock()
        self.heartbeat_s = heartbeat_ms / 1000
        self.rows = {}  # (table, part, key): Row
        self.changes = collections.defaultdict(dict)  # Table: version: row's key
        self.version = 0
        self.heartbeats = {}  # Worker: time of its last entry.
        self.refused = collections.Counter()  # Refused transactions by reason.
        self.largest_value = 0
        self.machines = []  # Objects as in the list.
        self.loop = asyncio.new_event_loop()
        self.thread = threading.Thread(target=self._run, daemon=True)

    def start(self):
        ready = threading.Event()
        self.ready = ready
        self.thread.start()
        ready.wait(10)

    def _run(self):
        asyncio.set_event_loop(self.loop)
        self.locks = collections.defaultdict(asyncio.Lock)
        self.changed = asyncio.Condition()
        self.loop.run_until_complete(self._serve())
        self.loop.run_forever()

    async def _serve(self):
        for address, handler in (
                (self.address, lambda r: self._handle(r, False)),
                (self.inner_address, lambda r: self._handle(r, True)),
                (self.cloud_address, self._handle_cloud),
                (self.advice_address, self._handle_advice)):
            host, port = address.split(":")
            await wire.serve(host, int(port), handler)
        self.loop.create_task(self._expire_entries())
        self.ready.set()

    async def _handle(self, request, inner):
        await asyncio.sleep(ANSWER_S)
        if request.path == "/rows-tx":
            return await self._transact(request, inner)
        if request.path == "/rows-get":
            return self._get(request.query)
        if request.path == "/rows-feed":
            return await self._feed(request.query)
        if request.path == "/rows-parts":
            table = request.query.get("Table", "")
            parts = {r.part for r in self.rows.values()
                     if r.table == table and r.value is not None}
            return 200, {"parts": sorted(parts), **self._stamp()}
        return 404, {}

    def _stamp(self):
        return {"Ver": self.version, "NowMs": int(time.monotonic() * 1000)}

    def _refuse(self, status, reason):
        self.refused[reason] += 1
        return status, {"Reason": reason}

    async def _transact(self, request, inner):
        body = request.json()
        if body is None:
            return self._refuse(400, "not an object")
        if len(request.body) > MAX_CALL_BYTES:
            return self._refuse(400, "call larger than 1 MB")
        expect = body.get("Expect", [])
        writes = body.get("SetKeys", [])
        removed = body.get("Remove", [])
        if len(expect) + len(writes) + len(removed) > MAX_ENTRIES:
            return self._refuse(400, "more than 100 entries")
        for row in writes:
            size = len(base64.b64decode(row["Value"]))
            self.largest_value = max(self.largest_value, size)
            if size > ROW_BYTES:
                return self._refuse(400, "value larger than RowBytes")
        closed = any(r["Table"] in CLOSED_TABLES for r in writes + removed)
        if closed and not inner:
            return self._refuse(403, "table of the platform")
        parts = sorted({r["part"] for r in expect + writes + removed})
        for part in parts:
            await self.locks[part].acquire()
        try:
            await asyncio.sleep(TRANSACTION_S * (2 if len(parts) > 1 else 1))
            return await self._apply(expect, writes, removed)
        finally:
            for part in parts:
                self.locks[part].release()

    async def _apply(self, expect, writes, removed):
        current = []
        failed = False
        for row in expect:
            found = self.rows.get((row["Table"], row["part"], row["Key"]))
            version = found.version if found and found.value is not None else 0
            failed = failed or version != row["Ver"]
            if version:
                current.append(found.to_json())
        if failed:
            return 412, {"rows": current, **self._stamp()}
        self.version += 1
        for row in writes:
            self._set(row["Table"], row["part"], row["Key"], row["Value"])
        for row in removed:
            self._set(row["Table"], row["part"], row["Key"], None)
        stamp = self._stamp()  # Later writes may come before the lock is free.
        async with self.changed:
            self.changed.notify_all()
        return 200, stamp

    def _set(self, table, part, key, value):
        identity = (table, part, key)
        old = self.rows.get(identity)
        if old is not None:
            versions = self.changes[table].get(old.version, [])
            if identity in versions:
                versions.remove(identity)
        self.rows[identity] = Row(table, part, key, value, self.version)
        self.changes[table].setdefault(self.version, []).append(identity)
        if table == "servers" and value is not None:
            self.heartbeats[key] = time.monotonic()

    def _get(self, query):
        table, part = query.get("Table", ""), query.get("part", "")
        first, end = query.get("From", ""), query.get("Target", "")
        limit = min(int(query.get("Limit", MAX_ROWS)), MAX_ROWS)
        found = sorted((r for r in self.rows.values()
                        if r.table == table and r.part == part
                        and r.value is not None and r.key >= first
                        and (not end or r.key < end)), key=lambda r: r.key)
        rows, size = [], 0
        for row in found:
            size += len(row.value) + len(row.key) + 80
            if len(rows) == limit or size > MAX_CALL_BYTES:
                break
            rows.append(row.to_json())
        return 200, {"rows": rows, "Truncated": len(rows) < len(found),
                     **self._stamp()}

    async def _feed(self, query):
        table = query.get("Table", "")
        after = int(query.get("DependsOn", "0"))
        deadline = time.monotonic() + int(query.get("WaitMs", "0")) / 1000

        def changed_rows():
            versions = sorted(v for v, rows in self.changes[table].items()
                              if v > after and rows)
            return [self.rows[i].to_json()
                    for v in versions for i in self.changes[table][v]]

        while not changed_rows() and time.monotonic() < deadline:
            async with self.changed:
                try:
                    await asyncio.wait_for(self.changed.wait(),
                                           deadline - time.monotonic())
                except (asyncio.TimeoutError, ValueError):
                    break
        # Read together with the version, as a row may come while a wait ends.
        return 200, {"rows": changed_rows(), **self._stamp()}

    async def _expire_entries(self):
        while True:
            await asyncio.sleep(0.1)
            limit = time.monotonic() - SILENT_HEARTBEATS * self.heartbeat_s
            for worker in [w for w, at in self.heartbeats.items() if at < limit]:
                del self.heartbeats[worker]
                self.version += 1
                self._set("servers", "", worker, None)
                async with self.changed:
                    self.changed.notify_all()

    async def _handle_cloud(self, request):
        if request.path == "/machines":
            return 200, {"Machines": self.machines, "NextToken": None}
        # The tests have no spare pool and no waves, and need no moves.
        return 409, {"Reason": "busy"}

    async def _handle_advice(self, request):
        body = request.json()
        if request.path != "/advise" or body is None:
            return 404, {}
        named = body["Workers"]
        if len(named) > MAX_ADVICE_WORKERS:
            return 400, {}
        timing = self.advice_timing
        async with self.advised:  # One call of a machine at a time.
            await asyncio.sleep((timing["DecideMs"]
                                 + timing["EachMs"] * len(named)) / 1000)
        good = [[worker, f"ticket-{worker}"] for worker in named
                if worker in self.allowed_workers]
        return 200, {"Good": good, "ValidMs": timing["ValidMs"]}

    def put(self, table, key, value):
        """Writes a row as an operator or as another writer of the table."""
        data = value if isinstance(value, bytes) else json.dumps(value).encode()
        row = {"Table": table, "part": "", "Key": key,
               "Value": base64.b64encode(data).decode()}
        status, _ = wire.call(self.inner_address, "POST", "/rows-tx",
                              {"SetKeys": [row]})
        if status != 200:
            raise RuntimeError(f"the store refused {table}/{key}: {status}")

    def get(self, table, key):
        """The value of a row that was written as JSON; None if it is gone."""
        row = self.rows.get((table, "", key))
        if row is None or row.value is None:
            return None
        return json.loads(base64.b64decode(row.value))
