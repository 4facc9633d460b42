"""Stand-in of the users' platform: the store of rows, the provider of hosts, the
placement policy and the meeting point of gangs.

Usage: platform_standin.py SETTINGS_JSON. `public` is the address that the system
uses, `turned_away` that of an entry host which the store may leave without answers,
and `private` the one that the operator, the workers and the test use.
"""

import base64
import json
import sys
import threading
import time

import httpd

SETTINGS = json.loads(sys.argv[1])
READ_ONLY_TABLES = ("op", "servers")
MAX_ROWS = 500
MAX_BYTES = 1_000_000
HISTORY_S = 20


class Store:
    """Rows with one counter of versions. All calls are linearizable."""

    def __init__(self):
        self.changed = threading.Condition()
        self.rows = {}  # (table, part, key): (value, version)
        self.log = []  # (version, table, part, key, value or None, time)
        self.dropped = 0  # Latest version that the log has no longer.
        self.version = 0
        self.part_free_at = {}

    def transact(self, call, may_write_all):
        expect, sets, removes = (call.get(name) or []
                                 for name in ("Expect", "SetKeys", "Remove"))
        name = lambda row: (row["Table"], row.get("part", ""), row["Key"])
        for row in [*sets, *removes]:
            if row["Table"] in READ_ONLY_TABLES and not may_write_all:
                return 403, {}
        self._wait_for_parts({name(row)[1] for row in [*expect, *sets, *removes]})
        with self.changed:
            differing = [name(row) for row in expect
                         if self.rows.get(name(row), (None, 0))[1] != row["Ver"]]
            if differing:
                return 412, {"rows": [self._row(key) for key in map(name, expect)
                                      if key in self.rows],
                             "Ver": self.version, "NowMs": now_ms()}
            self.version += 1
            for row in sets:
                self.rows[name(row)] = (row["Value"], self.version)
                self.log.append((self.version, *name(row), row["Value"],
                                 time.monotonic()))
            for row in removes:
                if self.rows.pop(name(row), None):
                    self.log.append((self.version, *name(row), None,
                                     time.monotonic()))
            self._drop_history()
            self.changed.notify_all()
            return 200, {"Ver": self.version, "NowMs": now_ms()}

    def _drop_history(self):
        oldest = time.monotonic() - HISTORY_S
        kept = next((n for n, entry in enumerate(self.log) if entry[5] >= oldest),
                    len(self.log))
        if kept:
            self.dropped = self.log[kept - 1][0]
            del self.log[:kept]

    def _wait_for_parts(self, parts):
        """A part carries out one transaction after another, TxMs each."""
        with self.changed:
            end = time.monotonic()
            for part in parts:
                end = max(end, self.part_free_at.get(part, 0))
            end += SETTINGS["tx_ms"] / 1000 * (2 if len(parts) > 1 else 1)
            for part in parts:
                self.part_free_at[part] = end
        time.sleep(max(0, end - time.monotonic()))

    def _row(self, key):
        value, version = self.rows[key]
        return {"Table": key[0], "part": key[1], "Key": key[2], "Value": value,
                "Ver": version}

    def get(self, query):
        limit = min(int(query.get("Limit", MAX_ROWS)), MAX_ROWS)
        with self.changed:
            keys = sorted(key for key in self.rows
                          if key[0] == query["Table"]
                          and key[1] == query.get("part", "")
                          and key[2] >= query.get("From", "")
                          and ("Target" not in query or key[2] < query["Target"]))
            rows, size = [], 0
            for key in keys[:limit]:
                size += len(self.rows[key][0])
                if rows and size > MAX_BYTES:
                    break
                rows.append(self._row(key))
            return 200, {"rows": rows, "Truncated": len(keys) > len(rows),
                         "Ver": self.version, "NowMs": now_ms()}

    def feed(self, query):
        table, since = query["Table"], int(query.get("DependsOn", 0))
        end = time.monotonic() + int(query.get("WaitMs", 0)) / 1000
        with self.changed:
            if since < self.dropped:
                return 410, {}
            while True:
                newest = {entry[1:4]: entry for entry in self.log
                          if entry[0] > since and entry[1] == table}
                left = end - time.monotonic()
                if newest or left <= 0:
                    break
                self.changed.wait(left)
            rows = []
            for version, _, part, key, value, _ in sorted(newest.values(),
                                                       key=lambda it: it[0]):
                row = {"Table": table, "part": part, "Key": key, "Ver": version}
                row.update({"Deleted": True} if value is None
                           else {"Value": value})
                rows.append(row)
            return 200, {"rows": rows, "Ver": self.version, "NowMs": now_ms()}


class Gangs:
    """Members of gangs that are present, and how each run of a gang ends."""

    def __init__(self):
        self.lock = threading.Lock()
        self.runs = {}  # (step, run): {"present": set, "began": s, "end": how}

    def report(self, call):
        key = (call["step"], call["run"])
        with self.lock:
            gang = self.runs.setdefault(
                key, {"present": set(), "began": None, "end": None})
            if call["event"] == "present":
                gang["present"].add(call["index"])
                if len(gang["present"]) == call["size"] and not gang["end"]:
                    gang["began"] = gang["began"] or time.monotonic()
            elif call["event"] == "gone":
                gang["present"].discard(call["index"])
                gang["end"] = gang["end"] or "broken"
            return 200, {"began": gang["began"], "end": gang["end"]}


STORE = Store()
GANGS = Gangs()
FAULT = {"until": 0, "late_s": 0}  # Of the server `turned_away`.


def now_ms():
    return int(time.monotonic() * 1000)


def list_hosts():
    """The hosts are those of the workers that are registered."""
    hosts = []
    with STORE.changed:
        for (table, _, key), (value, _) in sorted(STORE.rows.items()):
            if table != "servers":
                continue
            entry = json.loads(base64.b64decode(value))
            hosts.append({"Machine": entry["Machine"], "Pool": entry["Service"],
                          "State": "up", "Zone": entry["Zone"],
                          "Labels": entry["Labels"],
                          "Capacity": entry["Capacity"], "Id": key})
    return 200, {"Machines": hosts, "NextToken": None}


class Advice:
    """The placement policy. Answers one call at a time, in turn; 32 may wait. It
    does not notice that a caller has given up a call that waits."""

    def __init__(self):
        self.changed = threading.Condition()
        self.next_ticket = 0
        self.served = 0

    def answer(self, call):
        with self.changed:
            if self.next_ticket - self.served > 32:
                return 429, {}
            ticket = self.next_ticket
            self.next_ticket += 1
            self.changed.wait_for(lambda: self.served == ticket)
        time.sleep((SETTINGS["decide_ms"] +
                    SETTINGS["each_ms"] * len(call["Workers"])) / 1000)
        with self.changed:
            self.served += 1
            self.changed.notify_all()
        return 200, {"Good": [[worker, "t-" + worker]
                              for worker in call["Workers"]],
                     "ValidMs": SETTINGS["valid_ms"]}


ADVICE = Advice()


def leave_unanswered(path, body):
    """Gives no response before the fault has ended. Carries out a transaction
    `late_s` later, if its conditions hold then."""
    if path == "/rows-tx":
        call = json.loads(body)
        keys = [row["Key"] for row in call.get("SetKeys") or []]
        print(json.dumps({"t": time.monotonic(), "event": "unanswered",
                          "keys": keys}), flush=True)
        late = threading.Timer(FAULT["late_s"], carry_out_late, (call, keys))
        late.daemon = True
        late.start()
    time.sleep(max(0, FAULT["until"] - time.monotonic()))
    return None, None


def carry_out_late(call, keys):
    status, _ = STORE.transact(call, False)
    print(json.dumps({"t": time.monotonic(), "event": "late write", "keys": keys,
                      "status": status}), flush=True)


def handle(server, method, path, query, headers, body):
    private = server == "private"
    if private and path == "/fault":
        FAULT.update(json.loads(body))
        return 200, {}
    if server == "turned_away" and path.startswith("/rows-") and \
            time.monotonic() < FAULT["until"]:
        return leave_unanswered(path, body)
    if path == "/rows-tx":
        return STORE.transact(json.loads(body), private)
    if path == "/rows-get":
        return STORE.get(query)
    if path == "/rows-feed":
        return STORE.feed(query)
    if path == "/machines":
        return list_hosts()
    if path == "/advise":
        return ADVICE.answer(json.loads(body))
    if path in ("/machine-move", "/machine-upkeep"):
        return 409, {"Reason": "busy"}
    if private and path == "/gang":
        return GANGS.report(json.loads(body))
    return 404, {}


def serve(name):
    host, port = SETTINGS[name].split(":")
    server = httpd.Server(
        (host, int(port)),
        lambda *request: handle(name, *request))
    threading.Thread(target=server.serve_forever, daemon=True).start()


serve("public")
serve("turned_away")
serve("private")
print("ready", flush=True)
sys.stdin.read()
