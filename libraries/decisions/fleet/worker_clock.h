#pragma once

#include "base/quantity.h"

namespace daisyarch::fleet {

/// A reading of a worker's own steady clock, in milliseconds.
using WorkerMilliseconds = Quantity<struct WorkerMillisecondsTag>;

}  // namespace daisyarch::fleet
