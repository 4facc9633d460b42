#ifndef HYSSOPBARROW_POLICY_OWNER_H_
#define HYSSOPBARROW_POLICY_OWNER_H_

#include <cstdint>
#include <deque>
#include <functional>
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
#include "Policy/changed_jobs.h"
#include "Policy/fleet_effects.h"
#include "Policy/job_table.h"
#include "Policy/run_times.h"
#include "Policy/target_clock.h"

namespace hyssopbarrow::fleet {

/// Most rows in a commit. The store accepts 100 entries.
constexpr std::size_t kMaxCommitRows = 80;

/// Durations, limits and switches that a deployment configures.
struct TimingSettings {
  /// Longest lease that targets accept; they shorten longer ones to it.
  Duration max_lease = std::chrono::seconds(10);
  /// How long a host that moves to another pool is away.
  Duration host_move = std::chrono::milliseconds(1500);
  /// How long a host in maintenance is away.
  Duration host_maintenance = std::chrono::seconds(2);
  /// Longest time that a task takes to stop.
  Duration max_task_stop = std::chrono::milliseconds(900);
  /// Shortest time between host requests of two successive owners.
  Duration host_request_gap = std::chrono::seconds(3);
  /// Time in which a configuration that was stored must be in force.
  Duration max_configuration_age = std::chrono::seconds(2);
  /// How long callers can query the final state of a job.
  Duration final_state_retention = std::chrono::seconds(120);
  /// Largest value of a row that the store takes.
  std::int64_t max_row_bytes = 65'536;
  /// Memory that the jobs of the owner may take before callers are refused.
  std::int64_t max_job_bytes = 64L << 20;
  bool approvals_enabled = false;  ///< A placement policy answers requests.

  friend bool operator==(const TimingSettings&,
                         const TimingSettings&) = default;
};

/// Data centres in which nothing may be started.
using EvacuatedDataCentres = std::set<std::string, std::less<>>;

/// What the owner knows and does about evacuations.
struct EvacuationState {
  EvacuatedDataCentres data_centres;
  std::int64_t withdrawn_starts = 0;  ///< Starts that were not confirmed.
  std::int64_t moved_tasks = 0;       ///< Long-running tasks stopped to move.
};

/// What a decision reads and fills besides the state that it changes.
struct Context {
  EventTime time;
  const TimingSettings& timing;
  const Configuration* configuration = nullptr;  ///< Null until it is loaded.
  std::int64_t& next_id;
  Effects& out;
};

/// Appends a log line effect.
void Log(Context& context, Severity severity, std::string event,
         std::vector<std::pair<std::string, std::string>> fields);

enum class RunPhase {
  kPlanned,   ///< Assigned; not sent until the assignment is stored.
  kStarting,  ///< The start request was sent.
  kRunning,   ///< The target has confirmed the run.
  kStopping,  ///< To be stopped; still counts as used resources.
};

/// A run of a task on a target, as known to the owner.
struct Run {
  std::int64_t number = 0;
  RunPhase phase = RunPhase::kStarting;
  Resources resources;       ///< Reserved on the target.
  Resources team_resources;  ///< Counted towards the team's ceiling.
  std::string team;
  bool background = false;  ///< As in Step.
  /// Started where no other run can be the cause of a crash. No other task is
  /// started there until the run cannot be the cause either.
  bool isolated = false;
  std::int64_t tail_latency_target_ms = 0;  ///< As in Step.
  Instant start_sent_at{};  ///< When the last start request was sent.
  /// When the target confirmed the start or first reported the run.
  std::optional<Instant> confirmed_at;
  /// When this owner got the reply that a run from the beginning was started;
  /// its run time counts from then.
  std::optional<Instant> measured_from;
  /// Restored from the store and not reported by the target so far.
  bool unreported = false;
  /// Stored as a run of an earlier instance than the one that is listed. The
  /// target may have restarted before it was started.
  bool stored_for_earlier_instance = false;
  /// The present instance of the target has accepted or reported the run. A
  /// start without a reply may reach the next instance.
  bool instance_confirmed = false;
  /// A start request got no reply and may still take effect.
  bool start_outcome_unknown = false;
  /// When the target replied to the stop request.
  std::optional<Instant> stop_confirmed_at;
  bool request_pending = false;
  Instant retry_at{};
  std::int64_t speed_percent = 0;  ///< As reported by the target.
  std::int64_t load = 0;           ///< As in ReportedRun.
  std::int64_t requested_speed_percent = 100;
  std::string checkpoint;
};

/// A run that a target reports and whose job is unknown, perhaps because the
/// job's row has not arrived yet.
struct UnknownRun {
  ReportedRun reported;
  Instant first_seen{};
};

/// A target as known to the owner.
struct TargetView {
  Target entry;
  Instant found_at{};      ///< When the owner first knew of this instance.
  bool listed = true;      ///< In the targets table.
  bool has_entry = false;  ///< `entry` is from the targets table.
  bool retired = false;  ///< Its host was moved or taken out; it runs nothing.
  Instant retired_at{};
  bool missing = false;  ///< No host in the last host list runs it.
  std::map<TaskName, Run> runs;
  Resources used;
  std::int64_t background_runs = 0;  ///< Runs of background tasks.
  /// Number of the last run end (RunEnd::number) that was handled.
  std::int64_t last_end_processed = 0;
  std::int64_t last_end_stored = 0;  ///< Last end whose effect is stored.
  /// Last end whose acknowledgement the target has received.
  std::int64_t last_end_acknowledged = 0;
  bool synced = false;  ///< Has answered a poll of this owner.
  /// A reply or an entry suggests that the target has restarted. Its next poll
  /// tells; until then nothing is started or acknowledged.
  bool instance_doubted = false;
  std::string address_replied;  ///< Where this instance has answered a poll.
  /// The instance that `entry` is of, as the targets table says; 0 if it does
  /// not say. `entry.started_unix_ms` is the instance that was last known.
  std::int64_t described_instance = 0;
  /// A task waits until the target has answered a poll.
  bool poll_wanted = false;
  std::optional<ClockReading> clock;  ///< Latest reading of this instance.
  /// Latest lease end sent to the target, on the target's clock.
  std::int64_t lease_until_ms = 0;
  /// Latest time at which the last lease expires, which ends all runs.
  Instant latest_lease_end{};
  std::int64_t pending_poll = 0;  ///< Request id; 0 if none.
  Instant next_poll{};
  std::int64_t unanswered_polls = 0;  ///< Since the last answered poll.
  Instant last_reply_at{};            ///< From this instance.
  Instant avoid_until{};              ///< No starts until then.
  /// Until then only a task that may crash targets is started here, once the
  /// other runs cannot be the cause of a crash.
  Instant kept_free_until{};
  std::int64_t pending_requests = 0;  ///< Other than polls.
  Instant next_throttle{};            ///< Earliest next speed change.
  /// A start waits because too many requests are pending.
  bool start_deferred = false;
  bool evacuated = false;      ///< Its data centre is being evacuated.
  bool reserved = false;       ///< Being emptied for a move or maintenance.
  std::string relay;           ///< Node of its relay; empty if there is none.
  bool in_next_round = false;  ///< In Owner::next_round_targets.
  std::map<TaskName, UnknownRun> unknown_runs;
  /// Jobs with failed runs here since such failures last made the owner avoid
  /// the target.
  std::set<std::string> failed_jobs;
};

/// What the owner keeps of a target request until its reply arrives.
struct PendingTargetRequest {
  TargetRequestKind kind = TargetRequestKind::kPoll;
  std::string target;
  std::string address;
  TaskName task;
  std::int64_t run = 0;
  std::int64_t last_end_stored = 0;  ///< As in TargetRequest.
  Instant sent_at{};
  std::int64_t started_unix_ms = 0;  ///< Identifies the target instance.
};

/// The placement policy's approval of targets for a step.
struct Approval {
  std::int64_t pending_request = 0;            ///< Request id; 0 if none.
  std::map<std::string, std::string> tickets;  ///< By target.
  std::set<std::string> named;  ///< Targets of requests since the turn began.
  Instant valid_until{};
  Instant retry_at{};
};

enum class HostOperation { kNone, kMove, kMaintenance };

/// A host as known to the host manager.
struct HostView {
  Host host;
  bool missing = false;  ///< The last host list lacked it.
  HostOperation operation = HostOperation::kNone;  ///< Planned or in progress.
  std::string destination;                         ///< Pool of a move.
  std::int64_t wave = 0;                           ///< Of a maintenance.
  bool request_sent = false;         ///< The operation may have taken effect.
  std::int64_t pending_request = 0;  ///< Request id; 0 if none.
  Instant request_sent_at{};
  Instant retry_at{};
};

/// A maintenance wave and its progress.
struct WaveView {
  Wave wave;
  std::int64_t first_seen_unix_ms = 0;  ///< When any owner first saw the wave.
  std::set<std::string> done_hosts;
  bool completed = false;
  bool progress_stored = false;  ///< The progress row is up to date.
  bool completion_stored = false;
  std::optional<bool> published_completed;  ///< As last written for operators.
  std::int64_t pending_write = 0;           ///< Request id; 0 if none.
  Instant retry_at{};
};

/// What the store says about the requests for a host. It is stored before a
/// request is sent, so that a successor knows which requests may still be
/// carried out.
struct HostRecord {
  std::int64_t epoch = 0;  ///< Of the owner that sent the requests.
  bool open = false;       ///< A request may be on its way.
  bool stored = false;     ///< The store holds this record.
  Instant sent_at{};       ///< When the last request was sent.
  /// Until then a request without a reply may be carried out.
  Instant unanswered_until{};
  /// Until then a successor needs the record to know that it must not send a
  /// request for the host.
  Instant keep_until{};
};

/// State of the part of the owner that moves and maintains hosts.
struct HostManager {
  std::map<std::string, HostView> hosts;
  std::map<std::int64_t, WaveView> waves;
  std::map<std::string, HostRecord> records;  ///< By host.
  std::set<std::string> changed_records;      ///< Hosts; to be committed.
  /// Hosts whose records have just been stored; their requests may be due.
  std::vector<std::string> recorded_hosts;
  /// Until then requests of an owner that stored no records may be carried out.
  Instant unrecorded_requests_end{};
  std::int64_t pending_host_list = 0;  ///< Request id; 0 if none.
  Instant next_host_list{};
  Instant host_list_requested_at{};
  Instant host_list_received_at{};
  std::int64_t host_list_count = 0;  ///< Complete lists received.
  /// Hosts by the id of their pending request.
  std::unordered_map<std::int64_t, std::string> host_by_request;
  Instant next_plan{};
  /// When a pool last needed more hosts than were available, by pool.
  std::map<std::string, Instant> last_saturated;
};

/// An end of a run that was handled. Its effect is stored once all jobs before
/// `changes_end` in Owner::changed_jobs have been.
struct UnstoredEnd {
  std::string target;
  std::int64_t started_unix_ms = 0;  ///< Instance of the target.
  std::int64_t number = 0;           ///< As RunEnd::number.
  std::int64_t changes_end = 0;
  std::string job;  ///< Of the run.

  friend bool operator==(const UnstoredEnd&, const UnstoredEnd&) = default;
};

/// What a commit writes to the row of a job.
struct JobRowWrite {
  bool written = false;  ///< Some rows of its tasks may come first.
  bool final_state = false;
  bool has_tasks = false;  ///< The row holds the progress of tasks.
};

/// What a commit does with the row of some tasks of a job.
struct TaskRowWrite {
  std::string job;
  TaskRange tasks;
  std::uint64_t digest = 0;  ///< Of what it writes; 0 if it deletes the row.
};

/// A commit whose reply is awaited.
struct PendingCommit {
  std::int64_t id = 0;
  Instant sent_at{};
  std::map<std::string, JobRowWrite> jobs;
  std::vector<TaskRowWrite> task_rows;
  std::string largest_key;  ///< Of the row with the largest value.
  std::int64_t largest_bytes = 0;
  std::vector<std::string> removed_jobs;     ///< Jobs whose rows are deleted.
  std::map<std::int64_t, bool> waves;        ///< Whether written as completed.
  std::map<std::string, bool> host_records;  ///< Whether written as open.
  std::deque<UnstoredEnd> ends;              ///< Whose effect it stores.
  std::size_t rows_left = 0;                 ///< Changed rows that did not fit.
  /// Assignments that the commit stores; their starts are sent after it.
  std::vector<std::pair<TaskName, Assignment>> starts_to_send;
};

/// A run that may have crashed its target.
struct CrashCause {
  TaskName task;
  std::int64_t run = 0;
  CrashEvidence evidence = CrashEvidence::kUnconfirmed;
};

/// Runs that were given up while their target was unresponsive. Another
/// instance of the target shows later that it crashed.
struct LostRuns {
  std::string host;
  std::int64_t started_unix_ms = 0;  ///< Instance of the target.
  Instant lost_at{};
  std::vector<CrashCause> causes;
};

/// An entry host that carries requests between the owner and targets.
struct Relay {
  std::string address;
  std::string data_centre;
  std::int64_t capacity = 0;  ///< Number of targets that it can carry.
  std::int64_t targets = 0;   ///< Number of targets assigned to it.
  std::int64_t failures = 0;  ///< Losses since it last worked for long.
  Instant usable_from{};      ///< Not used before, after a loss.
};

/// What the owner has done since its last report of its load.
struct OwnerLoad {
  Instant next_report{};
  std::int64_t commits = 0;         ///< Answered by the store.
  std::int64_t rows = 0;            ///< Written by these commits.
  std::int64_t most_rows_left = 0;  ///< Changed rows that did not fit.
  Duration commit_time{};           ///< Sum over `commits`.
  Duration slowest_commit{};
  std::int64_t start_replies = 0;
  Duration start_time{};  ///< Sum over `start_replies`.
  Duration slowest_start{};
  std::int64_t starts_before = 0;  ///< Owner::start_count at the last report.
  std::int64_t ends_before = 0;    ///< Owner::end_count at the last report.
};

/// State of the owner of the fleet.
struct Owner {
  std::int64_t epoch = 0;
  std::int64_t epoch_revision = 0;  ///< Of the epoch row in the store.
  Instant owned_since{};
  /// Latest time at which an earlier owner may send requests to targets.
  Instant earlier_requests_end{};
  /// Extended by each renewal of the ownership.
  Instant target_requests_allowed_until{};
  Instant host_requests_allowed_until{};
  bool fenced = false;  ///< A newer owner exists.

  bool jobs_loaded = false;
  bool progress_loaded = false;
  bool targets_loaded = false;
  bool ready = false;  ///< These tables and the configuration are loaded.
  /// Until then the configuration is current, as far as the store has replied.
  Instant configuration_current_until{};
  Instant jobs_known_at{};       ///< As TableFollower::known_at.
  Instant targets_known_at{};    ///< As TableFollower::known_at.
  bool tables_outdated = false;  ///< As of the last sweep; nothing is planned.

  std::unordered_map<std::string, Job> jobs;
  std::set<std::string> active_jobs;  ///< Jobs without a final state.
  std::int64_t job_bytes = 0;         ///< Sum of Job::counted_bytes.
  /// What the predecessor had left for jobs; holds until this owner is ready.
  std::int64_t inherited_job_room = 0;
  /// Active jobs that may have a task to place; all of them if
  /// `all_jobs_placeable` is set, as in each sweep.
  std::set<std::string> placeable_jobs;
  bool all_jobs_placeable = true;
  /// Progress rows and cancels whose job rows have not arrived yet.
  std::map<std::string, nlohmann::json> unmatched_progress;
  std::set<std::string> unmatched_cancels;
  std::unordered_map<std::string, TargetView> targets;
  /// Targets in the pages received so far of a read of the whole table.
  std::set<std::string> targets_read;
  /// Targets with unknown runs, by the job of the runs.
  std::map<std::string, std::set<std::string>> unknown_run_targets;
  std::deque<UnstoredEnd> unstored_ends;      ///< In the order of handling.
  std::map<std::string, LostRuns> lost_runs;  ///< By target.
  /// Tasks with crashed runs (Task::crashed_runs) that are not done.
  std::set<TaskName> crash_suspects;
  std::int64_t crash_count = 0;  ///< Crashes of targets with runs.
  std::map<std::string, Resources> team_used;
  RunTimes run_times;
  Instant next_run_times_write{};
  std::int64_t run_times_written_at = 0;  ///< RunTimes::ends at the last one.
  EvacuationState evacuation;
  std::unordered_map<std::int64_t, PendingTargetRequest>
      pending_target_requests;
  std::map<std::string, Approval> approvals;  ///< By step.
  /// Steps of the pending approval requests, by request id.
  std::unordered_map<std::int64_t, std::string> pending_approvals;
  HostManager host_manager;
  std::map<std::string, Relay> relays;  ///< By node.

  ChangedJobs changed_jobs;
  std::optional<PendingCommit> pending_commit;
  /// Jobs with a row that the store refuses, and when it is tried again, apart
  /// from all others.
  std::map<std::string, Instant> isolated_jobs;
  std::int64_t refused_row_count = 0;  ///< Times that a row was isolated.
  /// Most jobs in the next commit. Lowered to find the row because of which the
  /// store refused a commit.
  std::size_t commit_job_limit = kMaxCommitRows;
  /// The next commit holds only rows of waves, for the same purpose.
  bool commit_waves_alone = false;
  /// Store revision of the last commit; `epoch_revision` before the first one.
  std::int64_t commit_revision = 0;
  std::int64_t commit_sequence = 0;  ///< Commits sent by this owner.
  Instant next_commit{};
  Duration commit_timeout{};  ///< Adapts to the latency of commits.
  /// Next check for due occurrences, unlisted targets and outdated job rows.
  Instant next_sweep{};
  /// Next round, which sends due polls and retries to `next_round_targets`, or
  /// to all targets if a full round is due.
  Instant next_round{};
  Instant next_full_round{};
  Instant last_round{};
  std::vector<std::string> next_round_targets;
  Instant next_throttle_check{};
  bool placement_due = true;
  /// Accepted jobs that have not started, by queue, as of the last sweep or of
  /// the moment at which the owner was ready. Timed jobs, which have `repeats`
  /// > 0, are not counted.
  std::map<std::string, std::int64_t, std::less<>> waiting_jobs;
  Instant waiting_known_at{};    ///< `jobs_known_at` when they were counted.
  std::int64_t start_count = 0;  ///< Runs planned by this owner.
  std::int64_t end_count = 0;    ///< Run ends handled by this owner.
  OwnerLoad load;
};

/// True while the ownership lease allows requests to targets.
bool MaySendTargetRequests(const Owner& owner, Instant now);

/// True while the owner may send start requests: the lease allows it, and the
/// jobs and targets tables are recent enough to know cancels and drains.
bool MayStartTasks(const Owner& owner, Instant now);

/// Apply rows of the tables that the owner follows. `live` is false while the
/// jobs table is being loaded; `whole` is true if `rows` is the last page of a
/// read of the whole table, whose targets are in Owner::targets_read.
/// A progress row of a job takes effect when the row of the job is applied.
void ApplyJobRows(Owner& owner, const StoreRows& rows, bool live,
                  Context& context);
void ApplyProgressRows(Owner& owner, const StoreRows& rows, Context& context);
void ApplyTargetRows(Owner& owner, const StoreRows& rows, bool whole,
                     Context& context);
void ApplyWaves(Owner& owner, const std::vector<Wave>& waves, Context& context);

/// Handle the replies to the owner's requests. Return false if `id` is not one
/// of them.
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

/// Schedules the next round as early as possible.
void ScheduleRound(Owner& owner, Instant now);

/// Begins to track an instance of a target of which only its entry is known.
void TrackInstance(TargetView& target, Target entry, Instant latest_lease_end,
                   Context& context);

/// Includes a target in the next round.
void AddToNextRound(Owner& owner, TargetView& target);

/// Does all work that is due: expired leases, polls, retries, starts, commits.
void AdvanceOwner(Owner& owner, Context& context);

/// Latest time of the next AdvanceOwner call.
Instant NextDeadline(const Owner& owner, Instant now);

/// Number of jobs of `queue` in Owner::waiting_jobs. Empty if it may be older
/// than callers are promised.
std::optional<std::int64_t> CountWaitingJobs(const Owner& owner,
                                             std::string_view queue,
                                             Instant now);

/// State to report to callers. `completed` and `failed` are reported only once
/// they are stored; until then the job is reported as running or pending. Empty
/// if the job is unknown.
std::optional<JobState> VisibleState(const Owner& owner,
                                     const std::string& job);

}  // namespace hyssopbarrow::fleet

#endif  // HYSSOPBARROW_POLICY_OWNER_H_
