"""Open peer links stop carrying data without being closed, while new connections
work. The links must be closed and replaced."""

from fleet import Fleet, Forwarder, until

with Fleet(hosts_per_data_centre=0, data_centres=("namche",)) as fleet:
    first = fleet.start_entry("entry-b", "namche")
    forwarder = Forwarder(first.peers)
    try:
        # Remove the first host's row, so that the second one reaches it only
        # through the forwarder.
        fleet.commit({"members/entry-b": None})
        second = fleet.start_entry("entry-c", "namche",
                                   seeds=[forwarder.address])
        fleet.wait_connected()
        before = forwarder.accepted
        forwarder.stall_open()
        def change(weight):
            code, reply = first.change("PUT", "team/huts",
                                       {"weight": weight, "ceiling": 1000},
                                       "?wait_ms=60000")
            assert code == 200, reply
            return reply
        change(2)
        until(lambda: not fleet.sees_all(first) or forwarder.accepted > before
              or first.status()["links"]["silent"] > 0,
              "a stalled link is detected")
        fleet.wait_connected()
        reply = change(3)
        assert reply["in_force"] and len(reply["confirmed"]) == 2, reply
        silent = sum(entry.status()["links"]["silent"] for entry in (first, second))
        assert silent >= 1, silent
    finally:
        forwarder.close()
