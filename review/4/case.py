"""One timed job whose occurrences overlap stops the whole fleet."""

import os
import sys
import time

HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(HERE, "..", "standins"))
import world  # noqa: E402

HUTS, TILL = "hut-desk", "till-house"
PREFIX = {HUTS: "/puxa400/", TILL: "/kafi706/"}
KEY = {"huts": "key-of-huts", "till": "key-of-till"}
LARGE_JOB = "7d0512efbc021bcc"
OCCURRENCES, INTERVAL_MS, TASKS, LARGE_WORK_MS = 10, 500, 300, 90_000
SMALL_WORK_MS = 500
FINISH_S = 14  # `finish_s`: how long after the traffic jobs are asked for.
IDLE_S = 3     # How long a job may have nothing running.


def route(name, service):
    return {"Name": name, "Host": world.HOST, "PathPrefix": PREFIX[service],
            "Kind": "unsafe", "TimeoutMs": 3000, "TargetLatencyMs": 600,
            "Priority": 0, "Service": service, "MaxAttempts": 3,
            "SlackFactor": 1.6, "Public": False}


def case(trouble):
    unlimited = {"Cpu": 0, "MemMb": 0, "Gpu": 0}
    w = world.World(
        HERE, routes=[route("r-book", HUTS), route("r-pay", TILL)],
        services=[{"Name": HUTS, "RejectsOverload": True},
                  {"Name": TILL, "RejectsOverload": True}],
        tenants=[{"Name": name, "ApiKeys": [key], "Weight": 10,
                  "UpperLimit": unlimited} for name, key in KEY.items()])

    def submit_small(first):
        step = {"Count": 2, "Cpu": 2000, "MemMb": 500, "EstimateMs": SMALL_WORK_MS}
        work = {"ms": SMALL_WORK_MS, "cpu": 2000, "mem": 500}
        jobs = [f"{first + n:016x}" for n in range(4)]
        for job in jobs:
            if w.submit(job, PREFIX[TILL], [(step, work)], KEY["till"]) != 200:
                raise world.CannotRun("a job was not accepted")
        return jobs

    try:
        for n in range(4):
            w.start_worker(f"i-{n + 1:010x}", HUTS, n)
        for n in range(4, 7):
            w.start_worker(f"i-{n + 1:010x}", TILL, n)
        w.wait_ready()
        before = submit_small(0x1000000000000000)
        if trouble:
            step = {"Count": TASKS, "Cpu": 20, "MemMb": 10,
                    "EstimateMs": LARGE_WORK_MS}
            work = {"ms": LARGE_WORK_MS, "cpu": 20, "mem": 10}
            timing = {"RepeatCount": OCCURRENCES, "IntervalMs": INTERVAL_MS,
                      "StartMs": int(time.time() * 1000) + 1000}
            if w.submit(LARGE_JOB, PREFIX[HUTS], [(step, work)], KEY["huts"],
                        timing=timing) != 200:
                raise world.CannotRun("the large job was not accepted")
        time.sleep(12)
        jobs = submit_small(0x2000000000000000)
        accepted_at = time.monotonic()
        time.sleep(FINISH_S)
        waiting = []
        for job in before + jobs:
            state = w.state(job, PREFIX[TILL], KEY["till"])
            if not w.starts(job):
                waiting.append(job)
                w.record(f"LOST: job {job} is {state}; no task of it was started "
                         f"in the {time.monotonic() - accepted_at:.1f} s since it "
                         "was accepted, with all workers of its service idle")
        if set(waiting) & set(before):
            raise world.CannotRun("a job of before the large one did not run")
        time.sleep(IDLE_S)
        waiting = [job for job in waiting if not w.starts(job)]
        w.record(f"store: refused {dict(w.platform.refused)}, largest value "
                 f"{w.platform.largest_value} bytes")
        w.record(f"starts of the large job: {len(w.starts(LARGE_JOB))} of "
                 f"{OCCURRENCES * TASKS}")
        print(f"{len(waiting)} of {len(jobs)} accepted jobs with nothing running; "
              f"the store refused {dict(w.platform.refused)}")
        return world.BROKEN if waiting else world.HELD
    finally:
        w.close()


world.run_case(case)
