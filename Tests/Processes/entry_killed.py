"""An entry host is killed under load. The others must go on serving, and no
unrepeatable call may run twice."""

import signal

from fleet import Fleet, Load, until

with Fleet(hosts_per_data_centre=3, data_centres=("namche", "lukla")) as fleet:
    with Load(fleet, "lukla", headers={"X-Unrepeatable": "true"}) as load:
        load.wait_for(100)
        victim = next(entry for entry in fleet.entries if entry.data_centre == "lukla")
        victim.signal(signal.SIGKILL)
        victim.process.wait()
        until(lambda: all(
            not member["live"]
            for entry in fleet.live() for member in entry.status()["members"]
            if member["name"] == victim.name),
              "the other entry hosts report it as not live")
        load.wait_for(100)
        # Restart it under the same name, with a new incarnation.
        fleet.start_entry(victim.name, "lukla")
        fleet.wait_connected()
        load.wait_for(100)
    # Only callers connected to the killed host may have lost answers.
    assert all(name == victim.name for name, _ in load.failures), load.failures
    twice = {key: n for key, n in fleet.runs().items() if n > 1}
    assert not twice, twice
    code, reply = fleet.entries[1].change(
        "PUT", "team/huts", {"weight": 3, "ceiling": 1000}, "?wait_ms=60000")
    assert reply["in_force"] and victim.name in reply["confirmed"], reply
