#pragma once

#include <cstdint>

#include "base/time.h"
#include "decisions/fleet/task_table.h"

namespace daisyarch::fleet {

/// The tasks of one step of one occurrence.
struct StepRun {
  TaskTable m_tasks;
  std::uint32_t m_done = 0;
  std::uint32_t m_placed = 0;  ///< In one of the states of IsPlaced().
  std::uint32_t m_waiting = 0;
  std::uint32_t m_first_waiting = 0;  ///< No task before this index waits.
  /// Entries of StepPlan::m_after whose step is not done.
  std::uint32_t m_unfinished_predecessors = 0;
  bool m_is_released = false;   ///< All steps that it waits for are done.
  bool m_is_done = false;       ///< Its successors know that it is done.
  TimePoint m_stalled_since{};  ///< 0: not known to be stalled.
  bool m_has_decided_near_waits = false;  ///< See WaitsForNearPlace().
  bool m_is_queued = false;               ///< In Job::m_queues.
  bool m_is_queued_as_inherited = false;
};

}  // namespace daisyarch::fleet
