"""Stand-in of a worker. Usage: worker_standin.py SETTINGS_JSON.

The Spec of a job says what its tasks do: a JSON list with one object a step:
{"ms": how long a task works, "cpu": what it takes, "fail": whether it fails,
 "gang": size of the gang, 0 for none}.
Appends what it is told and what runs to the file `log`, one JSON object a line.
"""

import base64
import http.client
import json
import sys
import threading
import time

import httpd

SETTINGS = json.loads(sys.argv[1])
BORN = int(time.time() * 1000)
STARTED = time.monotonic()
HOLD_MAX_MS = 10000
GANG_TIMEOUT_S = 3.0


def clock_ms():
    return int((time.monotonic() - STARTED) * 1000) + 1000


def private_call(path, value):
    connection = http.client.HTTPConnection(SETTINGS["private"], timeout=5)
    try:
        connection.request("POST", path, json.dumps(value))
        return json.loads(connection.getresponse().read())
    finally:
        connection.close()


class Worker:
    def __init__(self):
        self.changed = threading.Condition()
        self.fence = 0
        self.lease_until = 0
        self.running = {}  # task: dict
        self.ended = []  # [number, task, run, how, saved]
        self.end_count = 0
        self.ended_runs = {}  # task: highest run that was stopped or ended
        self.log_file = open(SETTINGS["log"], "a", buffering=1)

    def log(self, event, **fields):
        self.log_file.write(json.dumps(
            {"t": time.monotonic(), "worker": SETTINGS["id"], "born": BORN,
             "labels": SETTINGS["labels"], "event": event, **fields}) + "\n")

    def reply(self, status, **fields):
        return status, {"ClockMs": clock_ms(), "born": BORN, **fields}

    def handle(self, method, path, query, headers, body):
        if method == "GET" and path == "/health":
            return self.reply(200)
        call = json.loads(body)
        instance = headers.get("x-hyssopbarrow-target-instance")
        if instance and instance != SETTINGS["id"]:
            return self.reply(421)
        with self.changed:
            if call.get("FencingToken", 0) < self.fence:
                return self.reply(409, Reason="fence")
            self.fence = call.get("FencingToken", 0)
            if path == "/run-start":
                return self.start(call)
            if path == "/run-stop":
                return self.stop(call)
            if path == "/hold":
                return self.hold(call)
            if path == "/pace":
                return self.reply(200)
        return 404, {}

    def extend(self, call):
        if "DeadlineMs" in call:
            self.lease_until = max(
                self.lease_until,
                min(call["DeadlineMs"], clock_ms() + HOLD_MAX_MS))

    def used_cpu(self):
        return sum(run["cpu"] for run in self.running.values())

    def start(self, call):
        task, number = call["Task"], call["Run"]
        current = self.running.get(task)
        if current and current["run"] == number:
            self.extend(call)
            return self.reply(200)
        if current or number <= self.ended_runs.get(task, 0):
            self.extend(call)
            return self.reply(409, Reason="old")
        if call["DeadlineMs"] <= clock_ms():
            return self.reply(409, Reason="late")
        self.extend(call)
        job, _, step, index = task.split(".")
        spec = json.loads(call["Spec"])[int(step)]
        full = self.used_cpu() + spec["cpu"] > SETTINGS["cpu"]
        if full and SETTINGS["guards"]:
            self.log("refused", task=task, run=number, reason="room")
            return self.reply(409, Reason="room")
        self.running[task] = {"run": number, "cpu": spec["cpu"], "stop": False}
        self.log("start", task=task, run=number, fence=self.fence,
                 used_cpu=self.used_cpu(), capacity=SETTINGS["cpu"])
        threading.Thread(target=self.run, args=(task, number, spec),
                         daemon=True).start()
        return self.reply(200)

    def run(self, task, number, spec):
        """Carries out one run to its end."""
        begin = time.monotonic()
        work_end = begin + spec["ms"] / 1000
        step, index = task.rsplit(".", 1)
        gang = spec.get("gang", 0)
        gang_began, how = None, None
        while how is None:
            time.sleep(min(0.01, max(0.001, work_end - time.monotonic())))
            now = time.monotonic()
            if self.running[task]["stop"]:
                time.sleep(SETTINGS["stop_ms"] / 1000)
                how = "stopped"
            elif clock_ms() > self.lease_until:
                how = "lapsed"
            elif gang:
                state = private_call("/gang", {
                    "step": step, "run": number, "index": index, "size": gang,
                    "event": "present"})
                gang_began = state["began"]
                if state["end"]:
                    how = state["end"]
                elif gang_began is None and now > begin + GANG_TIMEOUT_S:
                    how = "alone"
                elif gang_began and now > gang_began + spec["ms"] / 1000:
                    how = "done"
            elif now >= work_end:
                how = "failed" if spec.get("fail") else "done"
        if gang and how in ("stopped", "lapsed", "alone"):
            private_call("/gang", {"step": step, "run": number, "index": index,
                                   "size": gang, "event": "gone"})
        with self.changed:
            self.end_count += 1
            self.ended.append([self.end_count, task, number, how, ""])
            self.ended_runs[task] = max(number, self.ended_runs.get(task, 0))
            del self.running[task]
            self.log("end", task=task, run=number, how=how,
                     used_cpu=self.used_cpu())
            self.changed.notify_all()

    def stop(self, call):
        task, number = call["Task"], call["Run"]
        current = self.running.get(task)
        self.log("stop", task=task, run=number)
        if current and current["run"] <= number:
            current["stop"] = True
        elif not current:
            self.ended_runs[task] = max(number, self.ended_runs.get(task, 0))
        return self.reply(200)

    def hold(self, call):
        self.extend(call)
        cursor = call.get("AckCursor", 0)
        self.ended = [end for end in self.ended if end[0] > cursor]
        deadline = time.monotonic() + min(2000, call.get("WaitMs", 0)) / 1000
        while not self.ended and time.monotonic() < deadline:
            self.changed.wait(deadline - time.monotonic())
        return self.reply(
            200, Running=[[task, run["run"], "", 100, run["cpu"]]
                          for task, run in self.running.items()],
            Ended=self.ended[:500])

    def register(self):
        """Writes the entry of this worker every HeartbeatMs."""
        sequence = 0
        while True:
            sequence += 1
            entry = {"Service": SETTINGS["service"],
                     "Address": SETTINGS["address"], "Zone": SETTINGS["zone"],
                     "Version": "v1", "Slots": 8, "State": "ready",
                     "ColdRemainingMs": 0, "Machine": SETTINGS["machine"],
                     "Capacity": {"Cpu": SETTINGS["cpu"], "MemMb": 65536,
                                  "Gpu": 0},
                     "Labels": SETTINGS["labels"], "ClockMs": clock_ms(),
                     "Sequence": sequence, "born": BORN}
            value = base64.b64encode(json.dumps(entry).encode()).decode()
            private_call("/rows-tx", {"SetKeys": [{
                "Table": "servers", "part": "", "Key": SETTINGS["id"],
                "Value": value}]})
            if sequence == 1:
                self.log("registered")
            time.sleep(SETTINGS["heartbeat_ms"] / 1000)


WORKER = Worker()
WORKER.log("up")
IP, PORT = SETTINGS["address"].split(":")
SERVER = httpd.Server((IP, int(PORT)), WORKER.handle)
threading.Thread(target=SERVER.serve_forever, daemon=True).start()
threading.Thread(target=WORKER.register, daemon=True).start()
sys.stdin.read()
