#pragma once

#include "soak_traffic.h"

namespace daisyarch::soak {

/// Draws series in which workers restart under their ids, take orders that were
/// meant for their former lives and are cut off soon after, while long tasks
/// run and leaders end. The first begins at `start` at the earliest, the last
/// before `end`. Returns when the effects of all have ended.
TimePoint PlanRestarts(SoakSite& site, SoakTraffic& traffic, TimePoint start,
                       TimePoint end);

}  // namespace daisyarch::soak
