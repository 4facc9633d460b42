"""An idle worker that was cut off for some seconds is never used again."""

import os
import sys
import time

HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(HERE, "..", "standins"))
import proxy  # noqa: E402
import wire  # noqa: E402
import world  # noqa: E402

PREFIX, KEY, SERVICE = "/puxa400/", "key-of-huts", "hut-desk"
WORKERS = 6        # One of them is cut off: a share of 0.167.
KIND = "b"         # The label of that worker, which some jobs require.
CUT_S = 2.9        # Shorter than two heartbeats, so that its entry stays.
IDLE_S = 8.0       # Before the cut. Idle connections are closed after 5 s.
WORK_MS = 300
CUT_WORKER = "i-0000000001"
FINISH_S = 14      # `finish_s`: how long after the traffic jobs are asked for.


def case(trouble):
    w = world.World(
        HERE,
        routes=[{"Name": "r-book", "Host": world.HOST, "PathPrefix": PREFIX,
                 "Kind": "unsafe", "TimeoutMs": 3000, "TargetLatencyMs": 600,
                 "Priority": 0, "Service": SERVICE, "MaxAttempts": 3,
                 "SlackFactor": 1.6, "Public": False}],
        services=[{"Name": SERVICE, "RejectsOverload": True}],
        tenants=[{"Name": "huts", "ApiKeys": [KEY], "Weight": 10,
                  "UpperLimit": {"Cpu": 0, "MemMb": 0, "Gpu": 0}}])
    jobs = []

    def submit(label):
        job = f"{0x5000000000000000 + len(jobs):016x}"
        step = {"Count": 1, "Cpu": 2000, "MemMb": 500, "EstimateMs": WORK_MS,
                "Requirements": label}
        work = {"ms": WORK_MS, "cpu": 2000, "mem": 500}
        if w.submit(job, PREFIX, [(step, work)], KEY) != 200:
            raise world.CannotRun("a job was not accepted")
        jobs.append(job)

    try:
        listen, address, store = (f"{w.ip}:{world.free_port(w.ip)}"
                                  for _ in range(3))
        links = [proxy.Proxy(address, listen),
                 proxy.Proxy(store, w.platform.inner_address)]
        w.start_worker(CUT_WORKER, SERVICE, 0, listen=listen, address=address,
                       store=store, kind=KIND)
        for n in range(1, WORKERS):
            w.start_worker(f"i-{n + 1:010x}", SERVICE, n)
        w.wait_ready()
        submit(KIND)
        submit("a")
        time.sleep(IDLE_S)
        if trouble:
            while time.monotonic() - w.platform.heartbeats[CUT_WORKER] > 0.3:
                time.sleep(0.05)
            w.record(f"worker {CUT_WORKER} is cut off for {CUT_S} s")
            for link in links:
                link.cut(CUT_S)
        time.sleep(0.3)
        submit(KIND)
        submit("a")
        time.sleep(CUT_S + 1)
        status, _ = wire.call(address, "GET", "/health")
        w.record(f"health of worker {CUT_WORKER} after the cut: {status}; entry "
                 f"in the store: {w.platform.get('servers', CUT_WORKER)}")
        if status != 200:
            raise world.CannotRun("the cut did not end")
        submit(KIND)
        submit("a")
        time.sleep(FINISH_S)
        lost = []
        for job in jobs:
            state = w.state(job, PREFIX, KEY)
            if state != "completed":
                lost.append(job)
                w.record(f"LOST: job {job} is {state}, {len(w.starts(job))} starts;"
                         f" worker {CUT_WORKER} is up, in reach and idle for "
                         f"{FINISH_S} s")
        print(f"{len(lost)} of {len(jobs)} jobs not completed {FINISH_S} s after "
              "the cut")
        return world.BROKEN if lost else world.HELD
    finally:
        w.close()


world.run_case(case)
