#pragma once

#include "decisions/fleet/fleet.h"

namespace daisyarch::fleet {

/// Adapts how many tasks one pass starts and how often workers are polled to
/// how late the leader's loop is. `tick_gap` is the smoothed time between two
/// ticks; 0: not measured yet.
void AdaptToLoop(Fleet& fleet, Duration tick_gap);

}  // namespace daisyarch::fleet
