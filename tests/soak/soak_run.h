#pragma once

#include "soak_plan.h"

namespace daisyarch::soak {

/// Plays one seed and prints what it found. Returns false if a rule is broken
/// or the seed could not be played.
bool RunSeed(const SoakPlan& plan);

}  // namespace daisyarch::soak
