#include "Standalone/row_store.h"

#include <catch2/catch.hpp>

namespace hyssopbarrow::fleet {
namespace {

CommitRows CommitOf(std::int64_t value) {
  return {.writes = {{{Table::kJobs, "a"}, value}}};
}

TEST_CASE(
    "a commit on a stale revision changes nothing and returns the current "
    "row") {
  RowStore store;
  REQUIRE(store.Commit(CommitOf(1)).status == StoreStatus::kOk);
  CommitRows stale = CommitOf(2);
  stale.conditions = {{{Table::kJobs, "a"}, 0}};
  const StoreRows reply = store.Commit(stale);
  CHECK(reply.status == StoreStatus::kConflict);
  REQUIRE(reply.rows.size() == 1);
  CHECK(reply.rows[0].value == 1);
  CHECK(store.Find({Table::kJobs, "a"})->revision == 1);
}

TEST_CASE("a commit that exceeds a limit is invalid and changes nothing") {
  RowStore store(
      {.max_row_bytes = 20, .max_commit_bytes = 1000, .max_entries = 3});
  CommitRows commit = CommitOf(1);
  SECTION("value") { commit.writes[0].second = std::string(19, 'x'); }
  SECTION("entries") { commit.writes.resize(4, commit.writes[0]); }
  SECTION("bytes") { commit.writes[0].first.key.assign(1000, 'k'); }
  CHECK(store.Commit(commit).status == StoreStatus::kInvalid);
  CHECK(store.revision() == 0);
  CHECK(store.Commit(CommitOf(1)).status == StoreStatus::kOk);
}

TEST_CASE("a watch returns later changes, or that their history is lost") {
  RowStore store;
  for (std::int64_t n = 0; n < 20'002; ++n) store.Commit(CommitOf(n));
  const StoreRows recent =
      store.ChangesAfter({.table = Table::kJobs, .revision = 20'000});
  CHECK(recent.rows.size() == 2);
  CHECK_FALSE(recent.history_lost);
  CHECK(
      store.ChangesAfter({.table = Table::kJobs, .revision = 1}).history_lost);
}

}  // namespace
}  // namespace hyssopbarrow::fleet
