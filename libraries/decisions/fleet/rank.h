#pragma once

#include "decisions/fleet/fleet.h"

namespace daisyarch::fleet {

/// Returns the waiting steps that hold the steps of this processor use.
WaitingSteps& WaitingStepsOf(Fleet& fleet, ProcessorUse use);

/// Sets what the job's queue says of it: objective, priority and attempts.
void UpdateObjective(const Fleet& fleet, Job& job);

/// Sets when the job is ranked again; TimePoint::max(): never.
void SetRankTimer(Fleet& fleet, Job& job, TimePoint at);

}  // namespace daisyarch::fleet
