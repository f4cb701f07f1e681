#pragma once

#include <functional>
#include <optional>

#include "decisions/fleet/job_routes.h"
#include "fleet/fleet_runtime.h"

namespace daisyarch::fleet {

/// What became of a submission or a cancellation.
enum class Acceptance {
  kStored,
  kNotRun,   ///< Certainly without effect, now and later.
  kUnknown,  ///< May have taken effect, or may still.
  kNoSuchJob,
};

using AcceptanceAnswer = std::function<void(Acceptance)>;
/// Nothing for a job that does not exist.
using StateAnswer = std::function<void(Result<std::optional<JobState>>)>;
using PendingCountAnswer = std::function<void(Result<std::uint64_t>)>;

/// Stores a job under its key; a job that is stored already is accepted
/// again. Repeats an unanswered write until its outcome is known or the
/// deadline has come.
void AcceptJob(FleetRuntime& runtime, const JobPlan& plan, TimePoint deadline,
               AcceptanceAnswer on_answer);

void CancelStoredJob(FleetRuntime& runtime, const JobKey& key,
                     TimePoint deadline, AcceptanceAnswer on_answer);

void ReadJobState(FleetRuntime& runtime, const JobKey& key,
                  StateAnswer on_answer);

/// The queue's jobs that have not started, as the leader last counted them.
void ReadPendingCount(FleetRuntime& runtime, const QueueId& queue,
                      PendingCountAnswer on_answer);

}  // namespace daisyarch::fleet
