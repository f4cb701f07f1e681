#pragma once

#include "decisions/ownership/journal_record.h"
#include "decisions/placement/partition_state.h"
#include "decisions/placement/task_chart.h"

namespace daisyarch {

/// Applies one journal record. The owner that writes the record and a later one
/// that replays it get the same state. A record of an attempt other than the
/// task's current one has no effect.
void ApplyRecord(PartitionState& state, const TaskStateMachine& state_machine,
                 const JournalRecord& record);

/// Applies one event to the task's state machine and removes the task from the
/// state when it ends.
StepResult StepTask(PartitionState& state,
                    const TaskStateMachine& state_machine, Task& task,
                    TaskEvent event, AttemptOutcome outcome,
                    std::uint64_t checkpoint);

}  // namespace daisyarch
