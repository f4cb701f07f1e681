#pragma once

#include "fleet/fleet_node.h"

namespace daisyarch::fleet {

// A node's part in leading: the claim, its renewal and its end.

void WatchLead(FleetNode& node);
void TickLead(FleetNode& node);
void StepLead(FleetNode& node, LeadershipEvent event);

}  // namespace daisyarch::fleet
