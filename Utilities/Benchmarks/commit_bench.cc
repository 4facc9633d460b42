#include <gflags/gflags.h>

#include <chrono>
#include <cstdio>

#include "Policy/job_table.h"
#include "Policy/progress_rows.h"
#include "store_wire.h"

DEFINE_int32(rows, 40, "progress rows in a commit");
DEFINE_int32(tasks, 8, "started tasks of a job");
DEFINE_int32(rounds, 2000, "commits");

namespace hyssopbarrow::fleet {
namespace {

Job MakeJob() {
  Job job;
  job.record.id = "5c0e7a21d94b36f8";
  job.record.spec.steps.resize(1);
  job.record.spec.steps[0].count = FLAGS_tasks;
  job.state = JobState::kRunning;
  job.has_run = true;
  Occurrence occurrence = NewOccurrence(job.record.spec, {});
  for (Task& task : occurrence.steps[0].tasks) {
    task.assignments.push_back({"i-7fb53f2cdb", 1'776'698'327'689, 2001});
  }
  job.open_occurrences.emplace(0, std::move(occurrence));
  return job;
}

/// Prints the mean time that a commit takes for each of its rows.
void Measure() {
  constexpr std::int64_t kJobParts = 8;
  const Job job = MakeJob();
  std::size_t bytes = 0;
  const auto begin = std::chrono::steady_clock::now();
  for (int n = 0; n < FLAGS_rounds; ++n) {
    CommitRows commit;
    for (int row = 0; row < FLAGS_rows; ++row) {
      commit.writes.emplace_back(RowRef{Table::kProgress, job.record.id},
                                 ProgressRow(job));
    }
    bytes = platform::EncodeCommit(commit, kJobParts).size();
  }
  const std::chrono::duration<double, std::micro> us =
      std::chrono::steady_clock::now() - begin;
  std::printf("%.2f us and %zu bytes for each row\n",
              us.count() / FLAGS_rounds / FLAGS_rows,
              bytes / static_cast<std::size_t>(FLAGS_rows));
}

}  // namespace
}  // namespace hyssopbarrow::fleet

int main(int argc, char** argv) {
  gflags::SetUsageMessage("measures the cost of the owner's commits");
  gflags::ParseCommandLineFlags(&argc, &argv, true);
  hyssopbarrow::fleet::Measure();
  return 0;
}
