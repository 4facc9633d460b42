"""A worker that crashes again and again makes sound jobs end as `failed`."""

import os
import sys
import threading
import time

HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(HERE, "..", "standins"))
import world  # noqa: E402

PREFIX, KEY, SERVICE = "/puxa400/", "key-of-huts", "hut-desk"
MAX_ATTEMPTS = 3
WORKERS = 7             # One of them crashes: a share of 0.143.
WORK_MS, CPU = 2000, 8000
JOBS, INTERVAL_S = 500, 0.035
CRASH_AFTER_S, DOWN_S = 0.2, 1.0
FINISH_S = 14


class CrashingWorker:
    """Kills a worker shortly after a task has started on it, and starts it
    again, until it is told to stop."""

    def __init__(self, w, worker):
        self.w, self.worker = w, worker
        self.crashes = 0
        self.stopping = False
        self.thread = threading.Thread(target=self._run, daemon=True)
        self.thread.start()

    def _run(self):
        seen = 0
        while not self.stopping:
            starts = [e for e in self.w.starts() if e["worker"] == self.worker]
            if len(starts) == seen:
                time.sleep(0.005)
                continue
            time.sleep(CRASH_AFTER_S)
            self.w.crash_worker(self.worker)
            self.crashes += 1
            seen = len([e for e in self.w.starts()
                        if e["worker"] == self.worker])
            time.sleep(DOWN_S)
            self.w.restart_worker(self.worker)

    def stop(self):
        self.stopping = True
        self.thread.join()


def case(trouble):
    w = world.World(
        HERE,
        routes=[{"Name": "r-book", "Host": world.HOST, "PathPrefix": PREFIX,
                 "Kind": "unsafe", "TimeoutMs": 3000, "TargetLatencyMs": 600,
                 "Priority": 0, "Service": SERVICE, "MaxAttempts": MAX_ATTEMPTS,
                 "SlackFactor": 1.6, "Public": False}],
        services=[{"Name": SERVICE, "RejectsOverload": True}],
        tenants=[{"Name": "huts", "ApiKeys": [KEY], "Weight": 10,
                  "UpperLimit": {"Cpu": 0, "MemMb": 0, "Gpu": 0}}])
    try:
        for n in range(WORKERS):
            w.start_worker(f"i-{n + 1:010x}", SERVICE, n)
        w.wait_ready()
        crashing = CrashingWorker(w, "i-0000000001") if trouble else None
        jobs = [f"{0x6000000000000000 + n:016x}" for n in range(JOBS)]
        step = {"Count": 1, "Cpu": CPU, "MemMb": 500, "EstimateMs": WORK_MS}
        work = {"ms": WORK_MS, "cpu": CPU, "mem": 500}
        for job in jobs:
            if w.submit(job, PREFIX, [(step, work)], KEY) != 200:
                raise world.CannotRun("a job was not accepted")
            time.sleep(INTERVAL_S)
        if crashing:
            crashing.stop()
        time.sleep(FINISH_S)
        given_up = [job for job in jobs if w.state(job, PREFIX, KEY) == "failed"]
        for job in given_up:
            w.record(f"LOST: job {job} is shown as failed; its runs: " + ", ".join(
                f"{run} on {worker} ended {how}" for task, run, worker, _, _, how
                in w.runs() if task.startswith(job)))
        without_cause = [job for job in given_up
                         if len(w.ends(job, "failed")) < MAX_ATTEMPTS]
        print(f"{len(without_cause)} of {len(jobs)} jobs shown as failed, though "
              f"none of their runs ended so; "
              f"{crashing.crashes if crashing else 0} crashes of one worker")
        return world.BROKEN if without_cause else world.HELD
    finally:
        w.close()


world.run_case(case)
