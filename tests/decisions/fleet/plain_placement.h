#pragma once

#include "decisions/fleet/fleet.h"

namespace daisyarch::fleet {

/// Places waiting tasks by the rules of PlaceRuns() in the plainest way: one
/// task at a time, looking at every worker, with nothing kept in between. Gangs
/// and inherited jobs are not supported.
void PlaceRunsPlainly(Fleet& fleet, TimePoint now);

/// Returns the waiting steps of all groups, the most urgent first.
std::vector<WaitingStep> InRankOrder(const WaitingSteps& steps);

}  // namespace daisyarch::fleet
