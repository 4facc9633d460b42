#include <catch2/catch.hpp>

#include "Policy/fair_queue.h"

namespace hyssopbarrow {
namespace {

TEST_CASE("The latest start leaves time for twice the mean slot time") {
  const Instant now{};
  const Duration second = std::chrono::seconds(1);
  TeamQueue team_queue{.mean_slot_s = 0.5};
  CHECK(LatestStart(team_queue, 3 * second, now) == now + 2 * second);
  SECTION("a mean slot time beyond the deadline leaves half of the time") {
    team_queue.mean_slot_s = 100;
    CHECK(LatestStart(team_queue, 3 * second, now) == now + 1.5 * second);
  }
}

}  // namespace
}  // namespace hyssopbarrow
