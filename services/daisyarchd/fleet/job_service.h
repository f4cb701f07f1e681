#pragma once

#include <functional>
#include <optional>

#include "decisions/fleet/job_routes.h"
#include "fleet/fleet_runtime.h"

namespace daisyarch::fleet {

/// Outcome of a submission or a cancellation.
enum class Acceptance {
  kStored,
  kNotRun,     ///< Has no effect and never will.
  kUnknown,    ///< May have taken effect, or may do so later.
  kNoSuchJob,  ///< None is stored under the key for the retention period.
  kWithdrawn,  ///< Cancelled before it was stored; it never runs.
};

using AcceptanceCallback = std::function<void(Acceptance)>;
/// Receives nullopt for a job that does not exist.
using JobStateCallback = std::function<void(Result<std::optional<JobState>>)>;
using PendingCountCallback = std::function<void(Result<std::uint64_t>)>;

/// Stores a job under its key. A job whose key is already stored is accepted
/// again without a change. A write without an answer is repeated until its
/// outcome is known or the deadline has passed.
void AcceptJob(FleetRuntime& runtime, const JobPlan& plan, TimePoint deadline,
               AcceptanceCallback on_answer);

/// Stores the cancellation of a job, with the same retries. kStored also for
/// a job that has already ended. Without a job, stores that none may be stored
/// under the key, and says kNoSuchJob.
void CancelStoredJob(FleetRuntime& runtime, const JobKey& key,
                     TimePoint deadline, AcceptanceCallback on_answer);

void ReadJobState(FleetRuntime& runtime, const JobKey& key,
                  JobStateCallback on_answer);

/// Reads how many jobs of the queue have not started, as the leader last
/// stored it.
void ReadPendingCount(FleetRuntime& runtime, const QueueId& queue,
                      PendingCountCallback on_answer);

}  // namespace daisyarch::fleet
