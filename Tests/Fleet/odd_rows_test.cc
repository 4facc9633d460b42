#include <catch2/catch.hpp>
#include <string>

#include "Fleet/job_api.h"

namespace hyssopbarrow::fleet {
namespace {

// Guards against a process that ends at a job nested too deeply.
TEST_CASE("a submitted job that is nested too deeply is invalid") {
  const std::string lists(1UL << 21, '[');
  for (const std::string& body :
       {lists, lists + std::string(1UL << 21, ']'),
        R"({"steps":[)" + lists + std::string(1UL << 21, ']') + "]}"}) {
    const Call call = JobCodec().Decode({.method = "POST", .body = body});
    CHECK(call.spec_error.find("JSON") != std::string::npos);
  }
}

}  // namespace
}  // namespace hyssopbarrow::fleet
