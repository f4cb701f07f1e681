#pragma once

#include "chart/state_machine.h"
#include "decisions/ownership/journal_record.h"
#include "decisions/placement/partition_state.h"

namespace daisyarch {

/// The state that the guards and actions of charts/task.yaml read and change.
struct TaskContext {
  PartitionState& m_state;
  Job& m_job;
  Task& m_task;
  AttemptOutcome m_outcome = AttemptOutcome::kStopped;
  std::uint64_t m_checkpoint = 0;
};

using TaskStateMachine = StateMachine<TaskState, TaskEvent, TaskContext>;

/// A task is not retried after this many failures of its own.
constexpr std::uint32_t kMaximumTaskFailures = 3;

ChartBinding<TaskContext> TaskBinding();

}  // namespace daisyarch
