"""The table is down for a while. No call may fail, changes must be refused, and
changes must be accepted again afterwards."""

from fleet import Fleet, Load, until

with Fleet() as fleet, Load(fleet, "lukla") as load:
    load.wait_for(50)
    fleet.set_table_down(True)
    until(lambda: not any(member["store_reachable"]
                          for entry in fleet.entries
                          for member in entry.status()["members"]),
          "every entry host reports the table as unreachable")
    code, _ = fleet.entries[0].change("PUT", "team/huts", {"weight": 9, "ceiling": 1000})
    assert code == 503, code
    load.wait_for(200)
    # An entry host started meanwhile gets the snapshot from its peers.
    fresh = fleet.start_entry("lukla-new", "lukla")
    until(fresh.is_ready, "the new entry host has a snapshot")
    until(lambda: fresh.call()[0] == 200, "the new entry host serves keyed calls")
    load.wait_for(50)
    fleet.set_table_down(False)
    def change():
        return fleet.entries[0].change("PUT", "team/huts",
                                       {"weight": 9, "ceiling": 1000},
                                       "?wait_ms=60000")
    code, reply = until(lambda: (lambda result: result if result[0] == 200 else None)(change()),
                        "a change is accepted again")
    assert reply["in_force"], reply
    load.stop()
    assert not load.failures, load.failures
    refused = [result for result in load.results if result[0] != 200]
    assert not refused, refused[:5]
