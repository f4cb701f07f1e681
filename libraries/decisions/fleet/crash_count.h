#pragma once

#include "decisions/fleet/fleet.h"

namespace daisyarch::fleet {

/// Returns whether so many workers have crashed under the task that it may
/// start only in isolation.
bool NeedsIsolation(const Task& task);

/// Returns whether so many workers have crashed under the task that it is given
/// up.
bool HasCrashedTooOften(const Job& job, const Task& task);

/// Returns whether the worker has survived the run for so long that the run
/// does not crash it.
bool IsProven(const Worker& worker, const Task& task);

/// Returns whether the worker may run the task at present, as far as its
/// incarnation and the orders in transit go.
bool IsActive(const Task& task);

/// Returns the worker's runs that are not proven.
std::vector<TaskReference> FindUnprovenRuns(Fleet& fleet, const Worker& worker);

/// Records a failed poll. The second one in a row that the worker's host has
/// closed shows that the worker's process has crashed, which is counted for its
/// unproven runs.
void RecordPollFailure(Fleet& fleet, Worker& worker, PollFailure failure,
                       TimePoint now);

/// Records that the worker has answered: its present incarnation has not
/// crashed.
void RecordAnswer(Fleet& fleet, Worker& worker);

/// Records that the worker reports the task's run as active, so that a crash
/// which an earlier leader counted under it did not happen.
void RecordActive(Fleet& fleet, const Worker& worker, const FoundRun& active,
                  RunNumber run);

/// Records that another incarnation of the worker has appeared.
void RecordRestart(Fleet& fleet, Worker& worker, TimePoint now);

}  // namespace daisyarch::fleet
