#pragma once

#include <vector>

#include "base/time.h"
#include "decisions/fleet/inherited_late_start.h"

namespace daisyarch::fleet {

/// The starts that may take effect late at one worker.
struct WorkerLateStarts {
  TimePoint m_until{};  ///< Of all that this leader has sent.
  std::vector<InheritedLateStart> m_inherited;
};

}  // namespace daisyarch::fleet
