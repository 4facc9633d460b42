#include "Standalone/row_store.h"

#include <catch2/catch.hpp>

namespace hyssopbarrow::fleet {
namespace {

CommitRows Write(std::int64_t value) {
  return {.writes = {{{Table::kJobs, "a"}, value}}};
}

TEST_CASE("a commit on a stale revision changes nothing and shows the row") {
  RowStore store;
  REQUIRE(store.Commit(Write(1)).status == StoreStatus::kOk);
  CommitRows stale = Write(2);
  stale.conditions = {{{Table::kJobs, "a"}, 0}};
  const StoreRows reply = store.Commit(stale);
  CHECK(reply.status == StoreStatus::kConflict);
  REQUIRE(reply.rows.size() == 1);
  CHECK(reply.rows[0].value == 1);
  CHECK(store.Find({Table::kJobs, "a"})->revision == 1);
}

TEST_CASE("a watch learns of later changes, or that they are forgotten") {
  RowStore store;
  for (std::int64_t n = 0; n < 20'002; ++n) store.Commit(Write(n));
  const StoreRows late =
      store.ChangesAfter({.table = Table::kJobs, .revision = 20'000});
  CHECK(late.rows.size() == 2);
  CHECK_FALSE(late.history_lost);
  CHECK(
      store.ChangesAfter({.table = Table::kJobs, .revision = 1}).history_lost);
}

}  // namespace
}  // namespace hyssopbarrow::fleet
