#pragma once

#include "fleet/fleet_node.h"

namespace daisyarch::fleet {

// A node's role in leadership: claiming, renewing, losing and handing it over.

/// Starts to watch the leadership keys of the store.
void WatchLeadership(FleetNode& node);
void TickLeadership(FleetNode& node);
/// Steps charts/leadership.yaml and carries out the effects.
void StepLeadership(FleetNode& node, LeadershipEvent event);

}  // namespace daisyarch::fleet
