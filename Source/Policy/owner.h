#ifndef HYSSOPBARROW_POLICY_OWNER_H_
#define HYSSOPBARROW_POLICY_OWNER_H_

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

#include "Model/fleet.h"
#include "Model/job.h"
#include "Model/time.h"
#include "Policy/fleet_effects.h"
#include "Policy/job_table.h"

namespace hyssopbarrow::fleet {

/// Figures of the deployment, from its settings.
struct TimingSettings {
  Duration max_lease = std::chrono::seconds(10);  ///< Targets cut to this.
  Duration host_move = std::chrono::milliseconds(1500);
  Duration host_maintenance = std::chrono::seconds(2);
  Duration max_task_stop =
      std::chrono::milliseconds(900);  ///< Longest, of a task.
  Duration host_request_gap =
      std::chrono::seconds(3);  ///< Between two stewards.
  Duration final_state_retention = std::chrono::seconds(120);
  bool approvals_enabled = false;  ///< A placement policy can be asked.

  friend bool operator==(const TimingSettings&,
                         const TimingSettings&) = default;
};

/// What a decision needs besides the state that it changes.
struct Context {
  EventTime time;
  const TimingSettings& timing;
  const Configuration* configuration = nullptr;  ///< Null before the first.
  std::int64_t& next_id;
  Effects& out;
};

/// Appends a log line.
void Log(Context& context, Severity severity, std::string event,
         std::vector<std::pair<std::string, std::string>> fields);

enum class RunPhase {
  kPlanned,   ///< On the books; no order before the store has it.
  kStarting,  ///< The order to start was sent.
  kRunning,   ///< The target has it.
  kStopping,  ///< It is wanted no longer; still counts as room taken.
};

/// A run of a task on a target, as the owner believes it to be.
struct Run {
  std::int64_t number = 0;
  RunPhase phase = RunPhase::kStarting;
  Resources resources;       ///< Room that it takes on the target.
  Resources team_resources;  ///< Counts towards the team's ceiling.
  std::string team;
  Instant start_sent_at{};  ///< When its start was last ordered.
  /// The target has answered the order to start, or lists the run.
  std::optional<Instant> confirmed_at;
  /// An order to start got no answer and may be carried out later.
  bool start_outcome_unknown = false;
  /// The target has answered the order to stop.
  std::optional<Instant> stop_confirmed_at;
  bool request_pending = false;
  Instant retry_at{};
  std::int64_t speed_percent = 0;
  std::int64_t load = 0;  ///< As in ListedRun.
  std::int64_t requested_speed_percent = 100;
  std::string checkpoint;
};

/// A run that a target lists and whose job is not known (yet).
struct UnknownRun {
  ReportedRun reported;
  Instant first_seen{};
};

/// A target as its owner knows it.
struct TargetView {
  Target entry;
  bool listed = true;
  bool retired = false;  ///< Its host was moved or taken out: it runs nothing.
  std::map<TaskName, Run> runs;
  Resources used;
  std::int64_t last_end_processed = 0;  ///< Highest end taken in.
  std::int64_t last_end_stored = 0;     ///< Highest end whose effect is stored.
  std::int64_t last_end_acknowledged =
      0;                                 ///< Highest end the target may forget.
  bool synced = false;                   ///< It has answered this owner's hold.
  std::optional<std::int64_t> clock_ms;  ///< Its clock at `clock_at`.
  Instant clock_at{};
  std::int64_t lease_until_ms = 0;  ///< Longest lease ever sent, its clock.
  Instant latest_lease_end{};       ///< Everything it runs has ended by then.
  std::int64_t pending_poll = 0;
  Instant next_poll{};
  std::int64_t unanswered_polls =
      0;                  ///< Orders without answer since the last answer.
  Instant avoid_until{};  ///< No starts until then.
  std::int64_t pending_requests = 0;
  Instant next_throttle{};
  bool start_deferred =
      false;              ///< A start waits for open orders to be answered.
  bool reserved = false;  ///< Being emptied for a move or an upkeep.
  std::map<TaskName, UnknownRun>
      unknown_runs;                   ///< Runs of jobs not known here.
  std::set<std::string> failed_jobs;  ///< Jobs with a recent failure here.
};

/// What has to be known of an order when its answer comes.
struct PendingTargetRequest {
  TargetRequestKind kind = TargetRequestKind::kPoll;
  std::string target;
  TaskName task;
  std::int64_t run = 0;
  std::int64_t last_end_stored = 0;  ///< As in TargetOrder.
  Instant sent_at{};
  std::int64_t previous_lease_until_ms =
      0;                             ///< Longest lease sent before this order.
  std::int64_t started_unix_ms = 0;  ///< Life of the target it was meant for.
};

/// Approval of a step's targets by the placement policy.
struct Approval {
  std::int64_t pending_request = 0;
  std::map<std::string, std::string> tickets;  ///< By target.
  Instant valid_until{};
  Instant retry_at{};
};

enum class HostOperation { kNone, kMove, kMaintenance };

/// A host as the steward knows it.
struct HostView {
  Host host;
  HostOperation operation =
      HostOperation::kNone;  ///< What it is reserved for, or doing.
  std::string destination;   ///< Pool of a move.
  std::int64_t wave = 0;
  bool request_sent = false;  ///< An order was sent and may have taken effect.
  std::int64_t pending_request = 0;
  Instant request_sent_at{};
  Instant retry_at{};
};

struct WaveView {
  Wave wave;
  std::int64_t first_seen_unix_ms =
      0;  ///< Unix milliseconds when an owner first saw it.
  std::set<std::string> done_hosts;
  bool completed = false;
  bool progress_stored = false;  ///< The progress row says what is known here.
  bool completion_stored = false;
  std::optional<bool> published_completed;  ///< What the operators can read.
  std::int64_t pending_write = 0;
  Instant retry_at{};
};

struct HostManager {
  std::map<std::string, HostView> hosts;
  std::map<std::int64_t, WaveView> waves;
  Instant requests_allowed_from{};  ///< No orders earlier, so that two never
                                    ///< alternate.
  std::int64_t pending_host_list = 0;
  Instant next_host_list{};
  Instant host_list_received_at{};
  Instant next_plan{};
  std::map<std::string, Instant>
      last_saturated;  ///< Pools and when they last were.
};

/// Writes of the owner that are under way.
struct PendingCommit {
  std::int64_t id = 0;
  Instant sent_at{};
  std::map<std::string, bool> jobs;  ///< Whether the state written is final.
  std::vector<std::string> removed_jobs;     ///< Jobs whose rows are dropped.
  std::map<std::int64_t, bool> waves;        ///< Whether written as completed.
  std::map<std::string, std::int64_t> ends;  ///< By target.
  std::vector<std::pair<TaskName, Assignment>>
      starts_to_send;  ///< To be ordered then.
};

/// All that the owner of the fleet knows and decides.
struct Owner {
  std::int64_t epoch = 0;
  std::int64_t epoch_revision = 0;
  Instant owned_since{};
  Instant target_requests_allowed_until{};  ///< Updated by the ownership's
                                            ///< renewals.
  Instant host_requests_allowed_until{};  ///< Orders to hosts only until then.
  bool fenced = false;                    ///< A target has seen a newer owner.

  bool jobs_loaded = false;
  bool progress_loaded = false;
  bool targets_loaded = false;
  bool ready = false;  ///< All of these are loaded.

  std::map<std::string, Job> jobs;
  std::set<std::string> active_jobs;  ///< Jobs without a final state.
  std::map<std::string, nlohmann::json> unmatched_progress;
  std::set<std::string>
      unmatched_cancels;  ///< Of jobs whose row is not here yet.
  std::map<std::string, TargetView> targets;
  std::map<std::string, Resources> team_used;
  std::unordered_map<std::int64_t, PendingTargetRequest>
      pending_target_requests;
  std::map<std::string, Approval> approvals;  ///< By step.
  HostManager host_manager;

  std::set<std::string> changed_jobs;
  std::optional<PendingCommit> pending_commit;
  std::int64_t commit_revision = 0;
  std::int64_t commit_sequence = 0;
  Instant next_commit{};
  Duration commit_timeout{};  ///< Follows how long commits take.
  Instant next_sweep{};
  Instant next_round{};  ///< When all targets are looked at again.
  Instant last_round{};
  Instant
      next_throttle_check{};  ///< When the pace of filling tasks is looked at.
  bool placement_due = true;
  std::int64_t start_count = 0;
  std::int64_t end_count = 0;
};

/// True while the owner may send orders to targets.
bool MaySendTargetRequests(const Owner& owner, Instant now);

/// Takes in rows of the tables that the owner follows.
void ApplyJobRows(Owner& owner, const StoreRows& rows, bool live,
                  Context& context);
void ApplyProgressRows(Owner& owner, const StoreRows& rows);
void ApplyTargetRows(Owner& owner, const StoreRows& rows, bool whole,
                     Context& context);
void ApplyWaves(Owner& owner, const std::vector<Wave>& waves, Context& context);

/// Answers to the owner's requests; false if `id` is not one of them.
bool HandleTargetReply(Owner& owner, std::int64_t id, const TargetReply& reply,
                       Context& context);
bool HandleApprovalReply(Owner& owner, std::int64_t id,
                         const ApprovalReply& reply, Context& context);
bool HandleCommitReply(Owner& owner, std::int64_t id, const StoreRows& reply,
                       Context& context);

bool HandleHostListReply(Owner& owner, std::int64_t id, const HostList& list,
                         Context& context);
bool HandleHostReply(Owner& owner, std::int64_t id, HostRequestResult result,
                     Context& context);

/// Brings the next round over the targets forward, because something changed.
void ScheduleRound(Owner& owner, Instant now);

/// Does all that is due: leases, holds, retries, starts, commits.
void AdvanceOwner(Owner& owner, Context& context);

/// When Advance is due again at the latest.
Instant NextDeadline(const Owner& owner, Instant now);

/// Accepted jobs of `queue` that have not begun, without timed ones.
std::int64_t CountWaitingJobs(const Owner& owner, std::string_view queue);

/// State that may be shown: `completed` and `failed` only once stored.
std::optional<JobState> VisibleState(const Owner& owner,
                                     const std::string& job);

}  // namespace hyssopbarrow::fleet

#endif  // HYSSOPBARROW_POLICY_OWNER_H_
