#pragma once

#include <cstdint>

#include "base/ids.h"
#include "base/task_id.h"
#include "base/time.h"

namespace daisyarch {

/// The leaf states of charts/task.yaml, in the same order.
enum class TaskState : std::uint8_t {
  kQueued,
  kStarting,  ///< Assigned, not yet reported as running.
  kRunning,
  kStopping,
  kFinished,
  kFailed,
  kCancelled,
  kUnknown,  ///< Its attempt may have run and must not be repeated.
};

/// The events of charts/task.yaml, in the same order.
enum class TaskEvent : std::uint8_t {
  kAssigned,
  kStarted,
  kStopRequested,
  kFinished,
  kFailed,
  kReleased,  ///< The attempt certainly no longer runs and has no result.
  kCancelled,
};

/// One task of a job. Snapshots hold the fields up to `m_failures`; the others
/// are known to the current owner only.
struct Task {
  TaskId m_id;
  TaskState m_state = TaskState::kQueued;
  Attempt m_attempt{1};
  WorkerId m_worker;                ///< Valid in an active state.
  Incarnation m_start_incarnation;  ///< Of the worker that may run the attempt.
  std::uint64_t m_checkpoint = 0;   ///< Last known; 0 is the beginning.
  std::uint32_t m_failures = 0;     ///< Attempts that failed by themselves.

  /// The journal holds the last assignment.
  bool m_is_assignment_durable = true;
  /// The start of the attempt may have been sent.
  bool m_is_start_sent = false;
};

/// Returns true while the task may run on a worker.
inline bool IsActive(TaskState state) {
  return state == TaskState::kStarting || state == TaskState::kRunning ||
         state == TaskState::kStopping;
}

/// Returns true when the state is final.
inline bool IsEnded(TaskState state) {
  return state != TaskState::kQueued && !IsActive(state);
}

}  // namespace daisyarch
