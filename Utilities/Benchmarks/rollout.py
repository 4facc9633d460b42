"""Measures how fast changes roll out and the control traffic of entry hosts.

Usage: HYSSOPBARROW_BIN=build/release python3 Utilities/Benchmarks/rollout.py \
           [DATA_CENTRES [HOSTS [CHANGES [IDLE_SECONDS]]]]

Starts HOSTS entry hosts in each data centre as processes on this machine, makes
CHANGES changes through the hosts in turn, and then measures the idle fleet.
"""

import os
import sys
import time

sys.path.insert(0, os.path.join(os.path.dirname(__file__),
                                "../../Tests/Processes"))
from fleet import Fleet


def processor_seconds(entry):
    with open(f"/proc/{entry.process.pid}/stat") as source:
        fields = source.read().rsplit(")", 1)[1].split()
    return (int(fields[11]) + int(fields[12])) / os.sysconf("SC_CLK_TCK")


def resident_megabytes(entry):
    with open(f"/proc/{entry.process.pid}/statm") as source:
        return int(source.read().split()[1]) * os.sysconf("SC_PAGE_SIZE") / 1e6


def percentile(values, share):
    values = sorted(values)
    return values[min(len(values) - 1, int(share * len(values)))]


def measure_changes(fleet, changes):
    times = []
    for n in range(changes):
        entry = fleet.entries[n % len(fleet.entries)]
        started = time.monotonic()
        code, reply = entry.change("PUT", "team/huts",
                                   {"weight": n % 50 + 1, "ceiling": 1000},
                                   "?wait_ms=60000")
        times.append(time.monotonic() - started)
        assert code == 200 and reply["in_force"], reply
        assert len(reply["confirmed"]) == len(fleet.entries), reply
    return times


def measure_idle(fleet, seconds):
    before = [entry.status()["links"] for entry in fleet.entries]
    used = [processor_seconds(entry) for entry in fleet.entries]
    started = time.monotonic()
    time.sleep(seconds)
    spent = time.monotonic() - started
    after = [entry.status()["links"] for entry in fleet.entries]
    used = [processor_seconds(entry) - n for entry, n in zip(fleet.entries, used)]
    sent = [(b["bytes_sent"] - a["bytes_sent"]) / spent
            for a, b in zip(before, after)]
    both = [n + (b["bytes_received"] - a["bytes_received"]) / spent
            for n, a, b in zip(sent, before, after)]
    return sent, both, [100 * n / spent for n in used]


def main():
    arguments = [int(argument) for argument in sys.argv[1:]] + [3, 7, 100, 30][len(sys.argv) - 1:]
    data_centres, hosts, changes, seconds = arguments
    names = [f"dc{n}" for n in range(data_centres)]
    with Fleet(hosts_per_data_centre=hosts, data_centres=names) as fleet:
        times = measure_changes(fleet, changes)
        print(f"{data_centres} data centres, {hosts} entry hosts in each")
        print("change in force at all hosts, ms: median %.0f, 99th percentile "
              "%.0f, worst %.0f (%d changes)" %
              (1000 * percentile(times, 0.5), 1000 * percentile(times, 0.99),
               1000 * max(times), len(times)))
        time.sleep(35)  # Until the links that only the start needs are closed.
        sent, both, load = measure_idle(fleet, seconds)
        print("idle, per daemon: sent %.0f B/s mean, %.0f most; sent and received "
              "%.0f B/s mean, %.0f most" % (sum(sent) / len(sent), max(sent),
                                            sum(both) / len(both), max(both)))
        print("idle, per daemon: %.2f %% of a core mean, %.2f most; %.1f MB most"
              % (sum(load) / len(load), max(load),
                 max(resident_megabytes(entry) for entry in fleet.entries)))


main()
