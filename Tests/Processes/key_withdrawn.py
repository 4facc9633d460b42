"""A key is withdrawn under load. Once the change is in force, every entry host
must reject the key."""

from fleet import CALLER_KEY, DATA_CENTRES, Fleet, Load

with Fleet() as fleet:
    loads = [Load(fleet, data_centre) for data_centre in DATA_CENTRES]
    try:
        for load in loads:
            load.wait_for(50)
        entry = fleet.entries[0]
        row = next(row for row in fleet.rows("config/key/desk"))["value"]
        code, reply = entry.change("PUT", "key/desk", {**row, "withdrawn": True},
                                   "?wait_ms=60000")
        assert code == 200 and reply["in_force"], reply
        for entry in fleet.entries:
            got = entry.call()
            assert got[:3] == (403, "not-run", "key-rejected"), (entry.name, got)
            assert entry.call("status", key=None)[0] == 200
        before = [load.count() for load in loads]
    finally:
        for load in loads:
            load.stop()
    for load in loads:
        assert not load.failures, load.failures
        kinds = [code for code, _, _ in load.results]
        assert set(kinds) == {200, 403}, set(kinds)
