#pragma once

#include "decisions/fleet/fleet.h"

namespace daisyarch::fleet {

/// Returns whether runs surely take much longer on this worker than on others,
/// so that it gets tasks only if no other worker has room.
bool IsKnownSlow(const Fleet& fleet, const Worker& worker);

}  // namespace daisyarch::fleet
