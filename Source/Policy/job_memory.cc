#include "Policy/job_memory.h"

#include <algorithm>
#include <string>

namespace hyssopbarrow::fleet {
namespace {

/// Of a node in a map or a set, and of the block of a string or a vector.
constexpr std::int64_t kNodeBytes = 64;
/// A job is accepted while so many alike would fit. Large jobs are refused
/// first, and what arrives until all hosts know of it fits.
constexpr std::int64_t kMinJobsInRoom = 96;
/// Copies of a job's id: the key of the job, and in the sets of jobs.
constexpr std::int64_t kIdCopies = 4;

std::int64_t SizeOf(const std::string& text) {
  return static_cast<std::int64_t>(text.size());
}

std::int64_t RecordBytes(const JobRecord& record) {
  auto bytes = static_cast<std::int64_t>(sizeof(Job)) +
               kIdCopies * (kNodeBytes + SizeOf(record.id)) +
               SizeOf(record.queue) + SizeOf(record.pool) +
               SizeOf(record.team) + SizeOf(record.spec.payload);
  for (const Step& step : record.spec.steps) {
    const auto dependencies = static_cast<std::int64_t>(step.depends_on.size() *
                                                        sizeof(std::int64_t));
    bytes += static_cast<std::int64_t>(sizeof(Step)) + dependencies +
             SizeOf(step.required_label) + SizeOf(step.data_rack) +
             SizeOf(step.image);
  }
  return bytes;
}

std::int64_t OccurrenceBytes(const Occurrence& occurrence) {
  std::int64_t bytes =
      kNodeBytes + static_cast<std::int64_t>(sizeof(Occurrence));
  for (const StepProgress& step : occurrence.steps) {
    bytes += kNodeBytes +
             static_cast<std::int64_t>(sizeof(StepProgress) +
                                       step.tasks.size() * sizeof(Task));
  }
  return bytes;
}

}  // namespace

std::int64_t JobBytes(const Job& job) {
  std::int64_t bytes = RecordBytes(job.record);
  for (const auto& [number, occurrence] : job.open_occurrences) {
    bytes += OccurrenceBytes(occurrence);
  }
  return bytes;
}

void CountJobBytes(Owner& owner, Job& job) {
  UncountJobBytes(owner, job);
  job.counted_bytes = JobBytes(job);
  owner.job_bytes += job.counted_bytes;
}

void UncountJobBytes(Owner& owner, const Job& job) {
  owner.job_bytes -= job.counted_bytes;
}

std::int64_t RoomForJobs(const Owner& owner, const TimingSettings& timing) {
  const std::int64_t room =
      std::max<std::int64_t>(0, timing.max_job_bytes - owner.job_bytes);
  return owner.ready ? room : std::min(room, owner.inherited_job_room);
}

std::int64_t BytesOfNewJob(const JobRecord& record) {
  Job job;
  job.record = record;
  job.open_occurrences.emplace(0, NewOccurrence(record.spec, Instant{}));
  return JobBytes(job);
}

bool HasRoomForJob(std::int64_t room, std::int64_t job_bytes) {
  return job_bytes <= room / kMinJobsInRoom;
}

}  // namespace hyssopbarrow::fleet
