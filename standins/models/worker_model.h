#pragma once

#include <map>
#include <optional>
#include <string>
#include <vector>

#include "base/resources.h"
#include "base/time.h"
#include "decisions/placement/worker_messages.h"

namespace daisyarch {

/// An attempt of a task at the stand-in worker.
struct ModelAttempt {
  Attempt m_attempt;
  AttemptStatus m_status = AttemptStatus::kRunning;
  Resources m_demand;
  std::uint64_t m_checkpoint = 0;
  Duration m_remaining_work{};  ///< Run time at a speed of 1.
  TimePoint m_advanced_at{};
  /// When an acknowledged attempt is erased. It is kept until then because a
  /// late order to start it could still be valid.
  std::optional<TimePoint> m_forget_at;
};

/// A model of a worker that runs tasks under leases.
struct WorkerModel {
  Incarnation m_incarnation{1};
  Epoch m_epoch;
  Resources m_capacity;
  TimePoint m_lease_until{};
  std::map<TaskId, ModelAttempt> m_attempts;
  bool m_fails_everything = false;
  double m_speed = 1;  ///< Work done per unit of time.
  std::uint64_t m_starts = 0;
  std::uint64_t m_finishes = 0;
  std::map<TaskId, std::uint64_t> m_finishes_by_task;
  std::string m_violation;  ///< The last broken invariant, or "".
};

/// The work after which a task's checkpoint increases by one.
constexpr Duration kCheckpointInterval = std::chrono::milliseconds(100);

/// Advances the worker to `now`: attempts progress and finish, and all stop
/// when the lease expires.
void AdvanceWorker(WorkerModel& worker, TimePoint now);

/// Carries out a message from a partition's owner and returns the report.
/// Ignores the orders of a message that has a lower epoch than an earlier one,
/// is for another incarnation, or has an expired lease.
WorkerReport ApplyControl(WorkerModel& worker, const WorkerControl& control,
                          TimePoint now);

/// Restarts the worker process as another incarnation; all attempts are lost.
void RestartWorker(WorkerModel& worker);

/// Returns the attempts that are running.
std::vector<AttemptId> RunningAttempts(const WorkerModel& worker);

}  // namespace daisyarch
