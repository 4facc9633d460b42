#include <algorithm>
#include <catch2/catch.hpp>
#include <string>

#include "Fleet/fleet_simulation.h"
#include "Policy/owner_commits.h"
#include "Policy/owner_runs.h"

namespace hyssopbarrow::fleet {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

/// More jobs than rows in a commit.
constexpr int kManyJobs = 100;
const std::string kLastId = "ffffffffffffffff";

/// An owner without configuration, whose commits the test answers.
struct CommittingOwner {
  Owner owner;
  TimingSettings timing;
  std::int64_t next_id = 1;
  Effects out;
  Instant now = Instant(seconds(90));

  CommittingOwner() {
    owner.progress_loaded = owner.jobs_loaded = true;
    owner.target_requests_allowed_until = now + seconds(10);
  }

  Context MakeContext() {
    return {
        .time = {.now = now}, .timing = timing, .next_id = next_id, .out = out};
  }

  void Change(const std::string& id) {
    Job& job = owner.jobs[id];
    job.record = {.id = id, .spec = SimpleJob(1, false)};
    MarkJobChanged(owner, job);
  }

  /// Changes jobs whose ids sort before kLastId.
  void ChangeMany() {
    for (int n = 0; n < kManyJobs; ++n) {
      Change(std::to_string(1'000'000'000'000'000 + n));
    }
  }

  /// Sends the next commit and answers it. Returns whether it wrote `id`.
  bool CommitWrites(const std::string& id, StoreStatus status) {
    now += milliseconds(200);
    out.clear();
    Context context = MakeContext();
    CommitChanges(owner, context, false);
    const auto* commit = std::get_if<CommitRows>(&out.back());
    REQUIRE(commit != nullptr);
    const bool writes =
        std::any_of(commit->writes.begin(), commit->writes.end(),
                    [&id](const auto& write) { return write.first.key == id; });
    HandleCommitReply(owner, commit->id, {.status = status}, context);
    return writes;
  }
};

// Guards against jobs that are never stored, and so never started, because
// others with lower ids change again before each commit.
TEST_CASE("a changed job is stored before jobs that changed later") {
  CommittingOwner committing;
  committing.ChangeMany();
  committing.Change(kLastId);
  CHECK_FALSE(committing.CommitWrites(kLastId, StoreStatus::kOk));
  committing.ChangeMany();
  CHECK(committing.CommitWrites(kLastId, StoreStatus::kOk));
}

// Guards against a failed commit whose jobs go behind those that changed later.
TEST_CASE("jobs of a failed commit are stored first") {
  CommittingOwner committing;
  committing.Change(kLastId);
  CHECK(committing.CommitWrites(kLastId, StoreStatus::kUnknown));
  committing.ChangeMany();
  CHECK(committing.CommitWrites(kLastId, StoreStatus::kOk));
  CHECK_FALSE(committing.CommitWrites(kLastId, StoreStatus::kOk));
}

}  // namespace
}  // namespace hyssopbarrow::fleet
