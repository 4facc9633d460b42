#include <catch2/catch.hpp>

#include "Policy/fair_queue.h"

namespace hyssopbarrow {
namespace {

TEST_CASE("A call waits only as long as it can still end in time") {
  const Instant now{};
  const Duration second = std::chrono::seconds(1);
  TeamQueue line{.mean_slot_s = 0.5};
  CHECK(LatestStart(line, 3 * second, now) == now + 2 * second);
  SECTION("a run time that is far off leaves half of the time to wait") {
    line.mean_slot_s = 100;
    CHECK(LatestStart(line, 3 * second, now) == now + 1.5 * second);
  }
}

}  // namespace
}  // namespace hyssopbarrow
