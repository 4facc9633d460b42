#include "Fleet/caller_limits.h"

#include <catch2/catch.hpp>
#include <cstdint>

namespace hyssopbarrow::fleet {
namespace {

// Guards against limits that are the same on every machine, and against some
// that refuse a single caller.
TEST_CASE("limits on callers follow from memory and descriptors") {
  const std::int64_t memory_mb = GENERATE(0, 16, 48, 160, 512);
  const std::int64_t descriptors = GENERATE(0, 1100, 1700, 4100);
  CAPTURE(memory_mb, descriptors);
  const CallerLimits limits = MakeCallerLimits(memory_mb, descriptors);
  CHECK(limits.http.max_input_bytes >= 4 * limits.http.max_body_bytes);
  CHECK(limits.http.max_connections >= 64);
  CHECK(limits.max_open_calls >= 64);
  if (memory_mb >= 48) {
    CHECK(limits.http.max_input_bytes <=
          static_cast<std::size_t>(memory_mb << 20) / 4);
    CHECK(limits.http.max_connections * 96 <= memory_mb * 1024 / 4);
  }
  if (descriptors >= 1700) {
    CHECK(limits.http.max_connections * 2 <= descriptors - 1024);
  }
  const std::int64_t internal = 3 * MakeInternalLimits().max_connections;
  CHECK(internal < 1024);
}

}  // namespace
}  // namespace hyssopbarrow::fleet
