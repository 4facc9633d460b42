#include <algorithm>
#include <catch2/catch.hpp>
#include <string>

#include "Fleet/owner_fixture.h"
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
struct CommittingOwner : OwnerFixture {
  CommittingOwner() {
    owner.progress_loaded = owner.jobs_loaded = true;
    owner.target_requests_allowed_until = now + seconds(10);
  }

  void Change(const std::string& id) { MarkJobChanged(owner, AddJob(id)); }

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

/// Lets target i-1 report the end of a run of a task of kLastId.
void ReportEnd(CommittingOwner& committing, std::int64_t number) {
  constexpr std::int64_t kPoll = 1000;
  committing.owner.pending_target_requests[kPoll] = {
      .kind = TargetRequestKind::kPoll,
      .target = "i-1",
      .sent_at = committing.now,
      .started_unix_ms = 7};
  Context context = committing.MakeContext();
  HandleTargetReply(committing.owner, kPoll,
                    {.result = TargetResult::kDone,
                     .clock_ms = 1,
                     .started_unix_ms = 7,
                     .ends = {{.number = number,
                               .task = {kLastId, 0, 0, 0},
                               .run = 1,
                               .kind = RunEndKind::kDone}}},
                    context);
}

/// An owner of target i-1 and of job kLastId, whose task runs there.
CommittingOwner MakeOwnerWithTarget() {
  CommittingOwner committing;
  TargetView& target = committing.owner.targets["i-1"];
  target.entry = {.id = "i-1", .address = "10.0.0.1:80", .started_unix_ms = 7};
  committing.AddJob(kLastId);
  return committing;
}

// Guards against targets that report their ends again and again because no end
// is acknowledged while any job waits for a commit.
TEST_CASE("a stored end is acknowledged while later changes wait") {
  CommittingOwner committing = MakeOwnerWithTarget();
  TargetView& target = committing.owner.targets.at("i-1");
  ReportEnd(committing, 1);
  committing.ChangeMany();
  CHECK(committing.CommitWrites(kLastId, StoreStatus::kUnknown));
  CHECK(target.last_end_stored == 0);
  CHECK(committing.CommitWrites(kLastId, StoreStatus::kOk));
  CHECK(target.last_end_stored == 1);
}

// Guards against acknowledged ends whose effect is not stored.
TEST_CASE("an end is not acknowledged before the change it made is stored") {
  CommittingOwner committing = MakeOwnerWithTarget();
  TargetView& target = committing.owner.targets.at("i-1");
  committing.ChangeMany();
  ReportEnd(committing, 1);
  CHECK_FALSE(committing.CommitWrites(kLastId, StoreStatus::kOk));
  CHECK(target.last_end_stored == 0);
  CHECK(committing.CommitWrites(kLastId, StoreStatus::kOk));
  CHECK(target.last_end_stored == 1);
}

// Guards against ends of a restarted target that are acknowledged unread,
// because its earlier instance had ended as many runs.
TEST_CASE("an end of an earlier instance acknowledges nothing") {
  CommittingOwner committing = MakeOwnerWithTarget();
  TargetView& target = committing.owner.targets.at("i-1");
  ReportEnd(committing, 5);
  target.entry.started_unix_ms = 8;
  target.last_end_processed = 0;
  CHECK(committing.CommitWrites(kLastId, StoreStatus::kOk));
  CHECK(target.last_end_stored == 0);
}

// Guards against an owner that is behind and waits between two full commits.
TEST_CASE("a full commit is followed by the next one at once") {
  CommittingOwner committing;
  committing.ChangeMany();
  CHECK(committing.CommitWrites("1000000000000000", StoreStatus::kOk));
  CHECK(committing.owner.next_commit == committing.now);
  CHECK(committing.CommitWrites("1000000000000099", StoreStatus::kOk));
  CHECK(committing.owner.next_commit > committing.now);
}

}  // namespace
}  // namespace hyssopbarrow::fleet
