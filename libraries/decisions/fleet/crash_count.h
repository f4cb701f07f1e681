#pragma once

#include "decisions/fleet/fleet.h"

namespace daisyarch::fleet {

/// Returns whether the worker has survived the run for so long that the run
/// does not crash it.
bool IsProven(const Worker& worker, const Task& task);

/// Returns the worker's runs that are not proven.
std::vector<TaskReference> FindUnprovenRuns(Fleet& fleet, const Worker& worker);

/// Records a failed poll. The second one in a row that the worker's host has
/// closed shows that the worker's process has crashed.
void RecordPollFailure(Fleet& fleet, Worker& worker, PollFailure failure,
                       TimePoint now);

/// Records that the worker has answered a poll, or that another incarnation of
/// it has appeared.
void RecordAnswer(Fleet& fleet, Worker& worker);

}  // namespace daisyarch::fleet
