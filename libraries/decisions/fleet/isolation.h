#pragma once

#include "decisions/fleet/choose_worker.h"

namespace daisyarch::fleet {

/// Isolates the task if it needs that, so that it starts on a worker where only
/// runs of its own job may crash the worker. Does nothing otherwise.
void AddIsolation(Fleet& fleet, const TaskReference& reference);

/// Isolates the restored tasks of a job that need it.
void AddIsolations(Fleet& fleet, const Job& job);

/// Holds workers for the isolated tasks that wait, and releases the workers
/// that are no longer needed. A held worker gets no other tasks.
void UpdateIsolations(Fleet& fleet, TimePoint now);

/// Returns the worker that is held for the task, if the task can start there
/// now; nullptr otherwise.
Worker* FindIsolatedWorker(PlacementPass& pass, const StepPlan& step,
                           const TaskReference& reference);

}  // namespace daisyarch::fleet
