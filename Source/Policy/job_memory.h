#ifndef HYSSOPBARROW_POLICY_JOB_MEMORY_H_
#define HYSSOPBARROW_POLICY_JOB_MEMORY_H_

#include <cstdint>

#include "Policy/owner.h"

namespace hyssopbarrow::fleet {

/// Approximate memory, in bytes, that the owner needs for the job: its record
/// and the tasks of its open occurrences.
std::int64_t JobBytes(const Job& job);

/// Counts in Owner::job_bytes what the job takes now. To be called once its
/// open occurrences have changed.
void CountJobBytes(Owner& owner, Job& job);

/// Takes a job that is about to be removed out of Owner::job_bytes.
void UncountJobBytes(Owner& owner, const Job& job);

/// Memory, in bytes, that is left for further jobs. An owner that is loading
/// its jobs has no more than its predecessor said.
std::int64_t RoomForJobs(const Owner& owner, const TimingSettings& timing);

/// As JobBytes, for a job that is submitted.
std::int64_t BytesOfNewJob(const JobRecord& record);

/// True if a job may be accepted that takes `job_bytes` of the `room` left.
bool HasRoomForJob(std::int64_t room, std::int64_t job_bytes);

}  // namespace hyssopbarrow::fleet

#endif  // HYSSOPBARROW_POLICY_JOB_MEMORY_H_
