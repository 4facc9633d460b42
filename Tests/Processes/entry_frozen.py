"""An entry host is suspended with SIGSTOP, misses a change and is resumed. It must
adopt the change, and no call may fail."""

import signal

from fleet import Fleet, Load, until

with Fleet(hosts_per_data_centre=3, data_centres=("namche", "lukla")) as fleet:
    frozen = next(entry for entry in fleet.entries if entry.data_centre == "lukla")
    others = [entry for entry in fleet.entries if entry is not frozen]
    frozen.signal(signal.SIGSTOP)
    until(lambda: all(
        not member["live"] for entry in others for member in entry.status()["members"]
        if member["name"] == frozen.name),
          "the other entry hosts report it as not live")
    with Load(fleet, "namche") as load:
        load.wait_for(100)
        code, reply = others[0].change(
            "PUT", "team/huts", {"weight": 7, "ceiling": 1000}, "?wait_ms=60000")
        assert code == 200 and reply["in_force"], reply
        assert frozen.name in reply["unreachable"], reply
        frozen.signal(signal.SIGCONT)
        until(lambda: (frozen.status() or {}).get("snapshot_revision", 0)
              >= reply["snapshot_revision"], "the resumed entry host adopts the change")
        fleet.wait_connected()
        assert frozen.status()["pauses"] >= 1
        assert frozen.call()[0] == 200
        load.wait_for(100)
    assert not load.failures, load.failures
    assert all(result[0] == 200 for result in load.results)
