#pragma once

#include "base/time.h"

namespace daisyarch {

/// Returns the present time on a monotonic clock. Unlike the steady clock, it
/// advances while the machine is suspended, as leases do.
TimePoint BootNow();

}  // namespace daisyarch
