"""Entry hosts are stopped with SIGTERM and replaced one after another. No call
may fail."""

import signal

from fleet import Fleet, Load, until

with Fleet(hosts_per_data_centre=2, data_centres=("namche", "lukla")) as fleet:
    slow = {"X-Deadline-Ms": "60000"}
    loads = [Load(fleet, data_centre, headers=slow)
             for data_centre in ("namche", "lukla")]
    try:
        for old in list(fleet.entries):
            for load in loads:
                load.wait_for(20)
            old.signal(signal.SIGTERM)
            until(lambda: not old.is_ready(), "/healthz reports not ready")
            assert old.process.wait(timeout=90) == 0
            assert not fleet.rows(f"members/{old.name}"), "its member row still exists"
            fleet.start_entry(old.name + "-next", old.data_centre)
            fleet.wait_connected()
        for load in loads:
            load.wait_for(50)
    finally:
        for load in loads:
            load.stop()
    for load in loads:
        assert not load.failures, load.failures
        failed = [result for result in load.results if result[0] != 200]
        assert not failed, failed[:5]
