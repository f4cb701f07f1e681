#pragma once

#include <cstdint>

#include "base/ids.h"
#include "base/task_id.h"
#include "base/time.h"

namespace daisyarch {

/// The leaves of charts/task.yaml, in this order.
enum class TaskState : std::uint8_t {
  kQueued,
  kStarting,
  kRunning,
  kStopping,
  kFinished,
  kFailed,
  kCancelled,
  kUnknown,
};

/// The events of charts/task.yaml, in this order.
enum class TaskEvent : std::uint8_t {
  kAssigned,
  kStarted,
  kStopRequested,
  kFinished,
  kFailed,
  kReleased,
  kCancelled,
};

/// One task of a job. What the journal holds comes first; the rest is
/// learnt anew by each owner.
struct Task {
  TaskId m_id;
  TaskState m_state = TaskState::kQueued;
  Attempt m_attempt{1};
  WorkerId m_worker;                ///< Valid in an active state.
  Incarnation m_start_incarnation;  ///< The run of the worker that is meant.
  std::uint64_t m_checkpoint = 0;
  std::uint32_t m_failures = 0;

  bool m_is_assignment_durable =
      true;                      ///< The journal holds the last assignment.
  bool m_is_start_sent = false;  ///< The start may have left this node.
};

/// True while the task may be on a worker.
inline bool IsActive(TaskState state) {
  return state == TaskState::kStarting || state == TaskState::kRunning ||
         state == TaskState::kStopping;
}

/// True when the task will not change any more.
inline bool IsEnded(TaskState state) {
  return state != TaskState::kQueued && !IsActive(state);
}

}  // namespace daisyarch
