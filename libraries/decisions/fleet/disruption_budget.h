#pragma once

#include <cstdint>

#include "decisions/fleet/fleet.h"

namespace daisyarch::fleet {

/// Returns how many tasks of the step run, other than `task`, are not known to
/// be at work. A task is at work while its run is active on a worker in contact
/// and was last reported as having begun its work.
std::uint32_t CountOthersAway(const Fleet& fleet, const Job& job,
                              const TaskReference& task);

/// Returns whether this leader may stop the task for a reason of its own, such
/// as the harm that it does. Not to be asked for the tasks of a job that has
/// been cancelled or has failed, nor for a worker that is leaving.
bool MayDisrupt(const Fleet& fleet, const Job& job, const TaskReference& task);

}  // namespace daisyarch::fleet
