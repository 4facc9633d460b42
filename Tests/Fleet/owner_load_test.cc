#include "Policy/owner_load.h"

#include <catch2/catch.hpp>
#include <map>
#include <string>
#include <variant>

namespace hyssopbarrow::fleet {
namespace {

using std::chrono::milliseconds;

class LoadReports {
 public:
  /// Advances the clock to `now` and returns the fields of the report; empty if
  /// none was logged.
  std::map<std::string, std::string> At(Duration now) {
    Effects out;
    Context context{.time = {.now = Instant(now)},
                    .timing = timing_,
                    .next_id = next_id_,
                    .out = out};
    ReportLoad(owner, context);
    std::map<std::string, std::string> fields;
    for (const Effect& effect : out) {
      const auto& line = std::get<LogLine>(effect);
      CHECK(line.event == "owner_load");
      fields.insert(line.fields.begin(), line.fields.end());
    }
    return fields;
  }

  Owner owner;

 private:
  TimingSettings timing_;
  std::int64_t next_id_ = 1;
};

TEST_CASE("an owner reports its commits and starts of each second") {
  LoadReports reports;
  reports.owner.start_count = 40;
  CHECK(reports.At(milliseconds(5000)).empty());
  RecordCommit(reports.owner.load, 80, 25, milliseconds(10));
  RecordCommit(reports.owner.load, 30, 0, milliseconds(34));
  RecordStartReply(reports.owner.load, milliseconds(18));
  reports.owner.start_count = 47;
  reports.owner.end_count = 3;
  reports.owner.waiting_jobs = {{"quick", 2}, {"long", 1}};
  CHECK(reports.At(milliseconds(5999)).empty());
  auto report = reports.At(milliseconds(6000));
  CHECK(report["commits"] == "2");
  CHECK(report["rows"] == "110");
  CHECK(report["most_rows_left"] == "25");
  CHECK(report["commits_ms"] == "44");
  CHECK(report["slowest_commit_ms"] == "34");
  CHECK(report["starts"] == "7");
  CHECK(report["ends"] == "3");
  CHECK(report["start_replies"] == "1");
  CHECK(report["slowest_start_ms"] == "18");
  CHECK(report["waiting_jobs"] == "3");
  report = reports.At(milliseconds(7000));
  CHECK(report["commits"] == "0");
  CHECK(report["starts"] == "0");
}

}  // namespace
}  // namespace hyssopbarrow::fleet
