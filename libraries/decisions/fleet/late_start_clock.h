#pragma once

#include "base/ids.h"
#include "decisions/fleet/worker_clock.h"

namespace daisyarch::fleet {

/// What a worker's clock reads once an order can take effect there no more.
struct LateStartClock {
  Incarnation m_incarnation;   ///< Of the worker, when known; 0: not known.
  WorkerMilliseconds m_until;  ///< On the clock of that incarnation.
  WorkerMilliseconds m_until_if_restarted;  ///< On that of a later one.
};

}  // namespace daisyarch::fleet
