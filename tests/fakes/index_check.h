#pragma once

#include <string>

#include "decisions/fleet/fleet.h"

namespace daisyarch::fleet {

/// Compares the fleet's index with one made anew from all workers, and its
/// counts with those of all jobs; returns what differs, or "".
std::string FindIndexError(Fleet& fleet);

}  // namespace daisyarch::fleet
