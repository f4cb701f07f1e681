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

/// Names one start of one task.
struct AttemptId {
  TaskId m_task;
  Attempt m_attempt;
};

/// What a worker needs to start an attempt.
struct StartOrder {
  AttemptId m_id;
  ClassId m_class;
  Resources m_demand;
  Duration m_run_time{};
  std::uint64_t m_checkpoint = 0;
};

/// One message from the owner of a partition to one of its workers.
struct WorkerControl {
  Epoch m_epoch;  ///< The worker refuses epochs below the highest it saw.
  /// The run of the worker that is meant; 0 only asks for a report.
  Incarnation m_incarnation;
  /// The worker's own clock as it last reported it; leases count from here,
  /// so that a late message grants no more than a timely one.
  WorkerClock m_lease_from;
  Duration m_lease_term{};
  std::vector<StartOrder> m_starts;
  std::vector<AttemptId> m_stops;
  /// Ends that are durable; the worker may forget them.
  std::vector<AttemptId> m_acknowledged;
};

/// Where an attempt stands on its worker.
enum class AttemptStatus : std::uint8_t {
  kRunning,
  kFinished,
  kFailed,
  kStopped,  ///< Stopped at its checkpoint; certainly not running.
  kNotRun,   ///< Never started here, and will not.
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
  Epoch m_epoch;  ///< The highest epoch that the worker saw.
  WorkerClock m_clock;
  std::vector<AttemptReport> m_attempts;
};

}  // namespace daisyarch
