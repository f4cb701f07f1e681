#pragma once

#include <string>

#include "decisions/fleet/fleet.h"
#include "fleet/leader.h"

namespace daisyarch::fleet {

/// Compares the fleet's index with one made anew from all workers, and its
/// counts with those of all jobs; returns what differs, or "".
std::string FindIndexError(Fleet& fleet);

/// Returns a task whose encoded row differs from its progress although no
/// change is marked, or "".
std::string FindRowError(const Leader& leader);

}  // namespace daisyarch::fleet
