#pragma once

#include "base/time.h"
#include "decisions/fleet/fleet_job.h"
#include "decisions/fleet/late_start_clock.h"

namespace daisyarch::fleet {

/// A start that an earlier leader sent and that may take effect late.
struct InheritedLateStart {
  TaskReference m_task;
  TimePoint m_until{};  ///< At the latest.
  LateStartClock m_clock;
};

}  // namespace daisyarch::fleet
