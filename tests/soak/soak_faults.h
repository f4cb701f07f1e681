#pragma once

#include <string>

#include "soak_traffic.h"

namespace daisyarch::soak {

/// Draws all faults of the seed and puts them on the agenda, from `start` on.
/// They end by themselves; the last one has ended at the time returned.
TimePoint PlanFaults(SoakSite& site, SoakTraffic& traffic, TimePoint start);

}  // namespace daisyarch::soak
