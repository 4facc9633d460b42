"""The leading entry host freezes as the answer to its renewal at the store is on its
way, and wakes again."""

import asyncio
import base64
import json
import os
import signal
import sys
import time

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), "../standins-3"))
from standins import (TENANT, Client, Entry, Platform, call, free_network, route, run_case,
                      wait_ready)

TROUBLE = os.environ.get("TROUBLE", "1") != "0"
FREEZES, FREEZE_S, PAUSE_S = 15, 3.5, 2.0
HANG_S = 8.0
CALLS_PER_S, CALLS_PER_JOB = 30, 6
PREFIX = "/puxa400/"
BODY = {"Spec": "booking check", "Steps": [
    {"Count": 6, "Cpu": 3500, "MemMb": 2048, "EstimateMs": 800}]}


def processor_s(entry):
    """Processor time that the process has used."""
    with open(f"/proc/{entry.process.pid}/stat") as stat:
        fields = stat.read().rsplit(")", 1)[1].split()
    return (int(fields[11]) + int(fields[12])) / os.sysconf("SC_CLK_TCK")


def renewing_node(body):
    """The node whose lease a transaction renews, or None. The lease of a leader names
    its holder, NODE@START; a claim also sets the row of the epoch."""
    rows = [row for row in body.get("SetKeys", []) if row["Table"] == "owner"]
    if len(rows) != 1:
        return None
    holder = json.loads(base64.b64decode(rows[0]["Value"])).get("holder", "")
    return holder.split("@")[0] if "renewals" in json.loads(
        base64.b64decode(rows[0]["Value"])) else None


async def run(record, directory):
    platform = Platform(record, free_network())
    platform.work_ms = lambda task: 800
    await platform.start()
    platform.configure(1, [route("r-book", PREFIX, "desk")], ["desk"], [TENANT])
    entries = [Entry(platform, n, directory) for n in (1, 2, 3)]
    by_node = {f"front-namche-{entry.number}": entry for entry in entries}
    wanted = asyncio.Event()
    frozen = asyncio.Queue()
    transaction = platform.store._transaction

    async def watch(body):
        node = renewing_node(body)
        if wanted.is_set() and node in by_node:
            wanted.clear()
            by_node[node].process.send_signal(signal.SIGSTOP)
            record("frozen", entry=by_node[node].number)
            frozen.put_nowait(by_node[node])
        return await transaction(body)

    platform.store._transaction = watch

    async def answers(entry, timeout_s):
        reply = await call(f"{entry.ip}:8343", "GET", "/readiness", timeout_s=timeout_s)
        return reply is not None

    async def traffic(client):
        """Hands in jobs and asks for the last one, on a new connection each."""
        job, n = None, 0
        while True:
            n += 1
            if n % CALLS_PER_JOB == 0 or job is None:
                job = f"{int.from_bytes(os.urandom(8), 'big'):016x}"
                asyncio.ensure_future(client.submit(PREFIX, BODY, job, tries=1))
            else:
                asyncio.ensure_future(client.state(PREFIX, job, quiet=True))
            await asyncio.sleep(1 / CALLS_PER_S)

    async def probe(entry):
        """Asks each second whether the host is ready, as the platform does."""
        while True:
            asyncio.ensure_future(answers(entry, 1.0))
            await asyncio.sleep(1)

    load = []
    try:
        for n in range(6):
            await platform.add_worker(f"i-{n}{os.urandom(4).hex()}", "desk", cpu=64000,
                                      mem=262144, rack=f"r{n % 3}")
        for entry in entries:
            entry.start()
        for entry in entries:
            if not await wait_ready(entry):
                return 2
        await asyncio.sleep(2)
        load = [asyncio.create_task(traffic(Client(platform, entries)))]
        load += [asyncio.create_task(probe(entry)) for entry in entries]
        hung = None
        for n in range(FREEZES):
            if not TROUBLE:
                await asyncio.sleep(FREEZE_S + PAUSE_S)
                continue
            wanted.set()
            entry = await asyncio.wait_for(frozen.get(), 10)
            await asyncio.sleep(FREEZE_S)
            entry.process.send_signal(signal.SIGCONT)
            record("woken", entry=entry.number)
            await asyncio.sleep(PAUSE_S)
            if entry.process.poll() is not None:
                # It crashed as it woke. The rule leaves out an end within a second
                # of a disruption, so the platform starts it again and the test goes on.
                record("ended_by_itself", entry=entry.number, exit_code=entry.process.poll())
                entry.start()
                await wait_ready(entry)
                continue
            if await answers(entry, 1.0):
                continue
            before, start = processor_s(entry), time.monotonic()
            if await answers(entry, HANG_S):
                continue
            used = processor_s(entry) - before
            hung = {"entry": entry.number, "freeze": n + 1,
                    "silent_s": round(PAUSE_S + 1 + time.monotonic() - start, 1),
                    "processor_share": round(used / (time.monotonic() - start), 2),
                    "exit_code": entry.process.poll()}
            break
        if not TROUBLE:
            for entry in entries:
                if not await answers(entry, HANG_S):
                    hung = {"entry": entry.number}
        record("verdict", rule="Fault", held=hung is None, hung=hung)
        return 0 if hung is None else 1
    finally:
        for task in load:
            task.cancel()
        for entry in entries:
            entry.kill()
        for worker in platform.workers.values():
            worker.crash()


sys.exit(run_case(__file__, run))
