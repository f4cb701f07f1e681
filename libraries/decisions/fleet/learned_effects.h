#pragma once

#include <vector>

#include "decisions/fleet/interference.h"

namespace daisyarch::fleet {

/// The learned effect of one best-effort image on one serving image.
struct LearnedPair {
  ImageId m_serving;
  ImageId m_best_effort;
  Estimate m_effect;
};

/// The learned headroom of a serving image that runs alone.
struct LearnedBaseline {
  ImageId m_serving;
  Estimate m_headroom;
};

/// What a leader has learned, in the form that is stored for the next one.
struct LearnedEffects {
  std::vector<LearnedPair> m_pairs;
  std::vector<LearnedBaseline> m_baselines;
};

LearnedEffects LearnedEffectsOf(const Interference& interference);

/// Takes over what an earlier leader has learned, except where this one has
/// samples of its own. Ignores figures that are out of range.
void ApplyLearnedEffects(Interference& interference,
                         const LearnedEffects& learned);

}  // namespace daisyarch::fleet
