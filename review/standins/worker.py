"""A stand-in for a worker: it registers itself in the store and runs tasks.

A start names no resources, so jobs of these tests carry them in `Spec`, a JSON
list with one object a step: `ms` (how long a task works), `cpu`, `mem`, and
`fails` (the task ends `failed`). Prints one JSON line for each thing it does.
"""

import argparse
import asyncio
import base64
import json
import sys
import time

import wire

MAX_ENDS = 500
MAX_WAIT_MS = 2000
CLOCK_START_MS = 100_000
STORE_TIMEOUT_S = 0.5
STORE_RETRY_S = 0.1


class Worker:
    """The state of one life of a worker."""

    def __init__(self, options):
        self.options = options
        self.born = int(time.time() * 1000)
        self.started = time.monotonic()
        self.fence = 0
        self.lease_until = 0
        self.running = {}  # Task: (run, needs, start on the worker's clock, timer)
        self.highest = {}  # Task: highest run that was stopped or has ended here.
        self.stopping = set()
        self.ends = []
        self.lapsed_ends = set()  # Numbers of ends before a lapse of the lease.
        self.next_end = 1
        self.ended = asyncio.Event()
        self.sequence = 0

    def clock(self):
        elapsed_ms = (time.monotonic() - self.started) * 1000
        return CLOCK_START_MS + int(elapsed_ms * self.options.clock_rate)

    def log(self, what, **fields):
        print(json.dumps({"at": time.monotonic(), "worker": self.options.id,
                          "born": self.born, "what": what, **fields}),
              flush=True)

    def used(self, name):
        return sum(needs.get(name, 0) for _, needs, _, _ in self.running.values())

    def extend_lease(self, deadline):
        if deadline is None:
            return
        limit = self.clock() + self.options.hold_max_ms
        self.lease_until = max(self.lease_until, min(deadline, limit))

    def end(self, task, how):
        if self.clock() > self.lease_until:
            how = "lapsed"  # Also if this process was stopped meanwhile.
        run, _, _, timer = self.running.pop(task)
        timer.cancel()
        self.stopping.discard(task)
        self.highest[task] = max(self.highest.get(task, 0), run)
        self.ends.append([self.next_end, task, run, how, ""])
        self.next_end += 1
        self.log("end", task=task, run=run, how=how)
        self.ended.set()

    def check(self, request):
        """Returns a refusal of a request, or None, and the request's object."""
        body = request.json()
        if body is None:
            return (400, {}), None
        wanted = request.headers.get("x-hyssopbarrow-target-instance")
        if wanted is not None and wanted != self.options.id:
            return (421, {"ClockMs": self.clock(), "born": self.born}), body
        token = body.get("FencingToken", 0)
        if token < self.fence:
            return (409, {"ClockMs": self.clock(), "Reason": "fence"}), body
        self.fence = token
        return None, body

    async def handle(self, request):
        if request.path == "/health":
            return 200, {}
        refusal, body = self.check(request)
        if refusal is not None:
            return refusal
        if request.path == "/hold":
            return await self.hold(body)
        if request.path == "/run-start":
            return self.start(body)
        if request.path == "/run-stop":
            return self.stop(body)
        if request.path == "/pace":
            return 200, {"ClockMs": self.clock()}
        return 404, {}

    def start(self, body):
        task, run = body["Task"], body["Run"]

        def refuse(reason):
            self.log("refused", task=task, run=run, reason=reason)
            return 409, {"ClockMs": self.clock(), "Reason": reason}

        if body["DeadlineMs"] <= self.clock():
            return refuse("late")
        self.extend_lease(body["DeadlineMs"])
        if task in self.running and self.running[task][0] == run:
            return 200, {"ClockMs": self.clock()}
        if run <= self.highest.get(task, 0) or task in self.running:
            return refuse("old")
        needs = json.loads(body["Spec"])[int(task.split(".")[2])]
        fits = (self.used("cpu") + needs.get("cpu", 0) <= self.options.cpu
                and self.used("mem") + needs.get("mem", 0) <= self.options.mem)
        if not fits:
            return refuse("room")
        if needs.get("ticket") and body.get("Ticket") != f"ticket-{self.options.id}":
            return refuse("ticket")
        how = "failed" if needs.get("fails") else "done"
        timer = asyncio.get_running_loop().call_later(
            needs["ms"] / 1000, self.end, task, how)
        self.running[task] = (run, needs, self.clock(), timer)
        self.log("start", task=task, run=run, fence=self.fence)
        return 200, {"ClockMs": self.clock()}

    def stop(self, body):
        task, run = body["Task"], body["Run"]
        self.log("stop", task=task, run=run)
        self.highest[task] = max(self.highest.get(task, 0), run)
        there = task in self.running and self.running[task][0] <= run
        if there and task not in self.stopping:
            self.stopping.add(task)
            asyncio.get_running_loop().call_later(
                self.options.stop_ms / 1000, self.finish_stop, task, run)
        return 200, {"ClockMs": self.clock()}

    def finish_stop(self, task, run):
        if task in self.stopping and self.running[task][0] <= run:
            self.end(task, "stopped")

    async def hold(self, body):
        self.extend_lease(body.get("DeadlineMs"))
        cursor = body.get("AckCursor", 0)
        for end in self.ends:
            if end[0] <= cursor:
                self.log("noted", task=end[1], run=end[2], how=end[3],
                         lapsed=end[0] in self.lapsed_ends)
        self.ends = [end for end in self.ends if end[0] > cursor]
        wait = min(body.get("WaitMs", 0), MAX_WAIT_MS) / 1000
        if wait > 0 and not self.ends:
            self.ended.clear()
            try:
                await asyncio.wait_for(self.ended.wait(), wait)
            except asyncio.TimeoutError:
                pass
        running = [[task, run, "", 100, needs.get("cpu", 0)]
                   for task, (run, needs, _, _) in self.running.items()]
        return 200, {"ClockMs": self.clock(), "born": self.born,
                     "Running": running, "Ended": self.ends[:MAX_ENDS]}

    async def watch_lease(self):
        while True:
            await asyncio.sleep(0.02)
            if self.clock() > self.lease_until:
                for task in list(self.running):
                    self.end(task, "lapsed")
                self.lapsed_ends.update(end[0] for end in self.ends)

    def entry(self):
        self.sequence += 1
        options = self.options
        return {"Service": options.service,
                "Address": options.address or options.listen,
                "Zone": options.zone, "Version": "v1", "Slots": 8,
                "State": "ready", "ColdRemainingMs": 0,
                "Capacity": {"Cpu": options.cpu, "MemMb": options.mem, "Gpu": 0},
                "Labels": [options.kind, options.rack],
                "Machine": options.machine,
                "ClockMs": self.clock(), "Sequence": self.sequence,
                "born": self.born}

    async def register(self):
        loop = asyncio.get_running_loop()
        while True:
            value = base64.b64encode(json.dumps(self.entry()).encode()).decode()
            row = {"Table": "servers", "part": "", "Key": self.options.id,
                   "Value": value}
            status, _ = await loop.run_in_executor(
                None, lambda: wire.call(self.options.store, "POST", "/rows-tx",
                                        {"SetKeys": [row]},
                                        timeout=STORE_TIMEOUT_S))
            await asyncio.sleep(self.options.heartbeat_ms / 1000
                                if status == 200 else STORE_RETRY_S)

    async def run(self):
        host, port = self.options.listen.split(":")
        server = await wire.serve(host, int(port), self.handle)
        self.log("born")
        async with server:
            await asyncio.gather(self.register(), self.watch_lease())


def main():
    parser = argparse.ArgumentParser()
    for name in ("id", "machine", "listen", "store", "service", "zone", "rack"):
        parser.add_argument("--" + name, required=True)
    parser.add_argument("--address", help="if it is reached by a proxy")
    parser.add_argument("--kind", default="a")
    parser.add_argument("--clock_rate", type=float, default=1.0)
    parser.add_argument("--cpu", type=int, default=64_000)
    parser.add_argument("--mem", type=int, default=256_000)
    parser.add_argument("--stop_ms", type=int, default=100)
    parser.add_argument("--hold_max_ms", type=int, default=10_000)
    parser.add_argument("--heartbeat_ms", type=int, default=1_500)
    try:
        asyncio.run(Worker(parser.parse_args()).run())
    except KeyboardInterrupt:
        sys.exit(0)


if __name__ == "__main__":
    main()
