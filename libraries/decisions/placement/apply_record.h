#pragma once

#include "decisions/ownership/journal_record.h"
#include "decisions/placement/partition_state.h"
#include "decisions/placement/task_chart.h"

namespace daisyarch {

/// Applies one record of the journal; the same for the owner that writes it
/// and for one that reads it back. A record of an attempt that is over has
/// no effect.
void ApplyRecord(PartitionState& state, const TaskMachine& machine,
                 const JournalRecord& record);

/// Sends one event through the task's chart and drops the task if it ended.
StepResult StepTask(PartitionState& state, const TaskMachine& machine,
                    Task& task, TaskEvent event, AttemptOutcome outcome,
                    std::uint64_t checkpoint);

}  // namespace daisyarch
