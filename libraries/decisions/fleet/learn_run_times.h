#pragma once

#include "decisions/fleet/fleet.h"

// Which runs the model of run times learns from, and how long they have taken.

namespace daisyarch::fleet {

/// Learns from a run that a worker reports as done, before the end is applied.
void LearnFromEnd(Fleet& fleet, const Worker& worker, const Job& job,
                  const Task& task, const TaskReference& reference,
                  TimePoint now);

/// Learns from those active runs of a report, all of which were looked up, that
/// have lasted unusually long; before the report's clock is recorded.
void LearnFromActiveRuns(Fleet& fleet, const Worker& worker,
                         const WorkerReport& report,
                         const std::vector<FoundRun>& active_runs,
                         TimePoint now);

}  // namespace daisyarch::fleet
