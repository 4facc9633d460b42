"""A change made at one entry host must come into force in all data centres,
and an invalid configuration in the table must be rejected as a whole."""

from fleet import Fleet, until

with Fleet() as fleet:
    for n, entry in enumerate(fleet.entries):
        code, reply = entry.change("PUT", "team/huts",
                                   {"weight": n + 2, "ceiling": 1000},
                                   "?wait_ms=60000")
        assert code == 200, reply
        assert reply["in_force"], reply
        assert len(reply["confirmed"]) == len(fleet.entries), reply
        # Check the response against the revision that each host reports.
        revision = reply["snapshot_revision"]
        assert all(known >= revision for known in fleet.revisions()), reply
    # An invalid row rejects the whole revision; a later valid one is adopted.
    fleet.commit({"config/team/broken": {"weight": -1},
                  "config/revision": {"number": 100}})
    until(lambda: any("broken" in entry.status()["refused_snapshot"]
                      for entry in fleet.entries),
          "an entry host reports the rejection")
    assert all(known < 100 for known in fleet.revisions())
    fleet.commit({"config/team/broken": None, "config/revision": {"number": 101}})
    until(lambda: all(known == 101 for known in fleet.revisions()), "revision 101")
