#pragma once

#include <map>
#include <optional>
#include <string>
#include <vector>

#include "base/resources.h"
#include "base/time.h"
#include "decisions/placement/worker_messages.h"

namespace daisyarch {

/// One attempt on the stand-in worker.
struct ModelAttempt {
  Attempt m_attempt;
  AttemptStatus m_status = AttemptStatus::kRunning;
  Resources m_demand;
  std::uint64_t m_checkpoint = 0;
  Duration m_remaining_work{};  ///< Work that remains.
  TimePoint m_advanced_at{};
  /// Acknowledged, but kept until no late start of it can be valid any more.
  std::optional<TimePoint> m_forget_at;
};

/// The stand-in for a worker: runs tasks under leases.
struct WorkerModel {
  Incarnation m_incarnation{1};
  Epoch m_epoch;
  Resources m_capacity;
  TimePoint m_lease_until{};
  std::map<TaskId, ModelAttempt> m_attempts;
  bool m_fails_everything = false;
  double m_speed = 1;  ///< Work done in a unit of time.
  std::uint64_t m_starts = 0;
  std::uint64_t m_finishes = 0;
  std::map<TaskId, std::uint64_t> m_finishes_by_task;  ///< By task.
  std::string m_violation;  ///< The first broken invariant, or "".
};

/// The work after which a task's checkpoint counts one up.
constexpr Duration kCheckpointInterval = std::chrono::milliseconds(100);

/// Lets time pass: tasks advance and finish; all stop when the lease runs
/// out.
void AdvanceWorker(WorkerModel& worker, TimePoint now);

/// Obeys a message from an owner and reports.
WorkerReport ApplyControl(WorkerModel& worker, const WorkerControl& control,
                          TimePoint now);

/// The process starts anew: all tasks are gone.
void RestartWorker(WorkerModel& worker);

/// The attempts that run now.
std::vector<AttemptId> RunningAttempts(const WorkerModel& worker);

}  // namespace daisyarch
