#pragma once

#include <cstdint>
#include <vector>

#include "base/ids.h"
#include "base/resources.h"
#include "base/task_id.h"
#include "base/time.h"

namespace daisyarch {

/// A reading of a worker's own monotonic clock, in milliseconds.
using WorkerClock = Quantity<struct WorkerClockTag>;

/// Identifies one start of one task.
struct AttemptId {
  TaskId m_task;
  Attempt m_attempt;
};

/// What a worker needs to start an attempt.
struct StartOrder {
  AttemptId m_id;
  ClassId m_class;
  Resources m_demand;
  Duration m_run_time{};           ///< Declared estimate.
  std::uint64_t m_checkpoint = 0;  ///< Where to resume; 0 is the beginning.
};

/// One message from the owner of a partition to one of its workers.
struct WorkerControl {
  Epoch m_epoch;  ///< The worker rejects epochs below the highest it has seen.
  /// The addressed incarnation of the worker; 0 only requests a report.
  Incarnation m_incarnation;
  /// The worker's clock as it last reported it. Leases count from here, so that
  /// a delayed message does not extend them.
  WorkerClock m_lease_from;
  Duration m_lease_term{};
  std::vector<StartOrder> m_starts;
  std::vector<AttemptId> m_stops;
  /// Attempts whose outcome is durable; the worker may forget them.
  std::vector<AttemptId> m_acknowledged;
};

/// The state of an attempt on its worker.
enum class AttemptStatus : std::uint8_t {
  kRunning,
  kFinished,
  kFailed,
  kStopped,  ///< Stopped at its checkpoint; certainly not running.
  kNotRun,   ///< Never started on this worker and never will be.
};

/// One attempt in a worker's report.
struct AttemptReport {
  AttemptId m_id;
  AttemptStatus m_status = AttemptStatus::kRunning;
  std::uint64_t m_checkpoint = 0;
};

/// A worker's answer to a WorkerControl.
struct WorkerReport {
  Incarnation m_incarnation;
  Epoch m_epoch;  ///< The highest epoch that the worker has seen.
  WorkerClock m_clock;
  std::vector<AttemptReport> m_attempts;
};

}  // namespace daisyarch
