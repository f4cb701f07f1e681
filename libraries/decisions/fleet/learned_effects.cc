#include "decisions/fleet/learned_effects.h"

#include <cmath>

namespace daisyarch::fleet {

namespace {

// Far above any effect or headroom.
constexpr double kMaximumFigure = 1e6;

bool IsInRange(const Estimate& estimate) {
  return std::isfinite(estimate.m_mean) && std::isfinite(estimate.m_variance) &&
         estimate.m_mean >= 0 && estimate.m_mean <= kMaximumFigure &&
         estimate.m_variance > 0 && estimate.m_variance <= kMaximumFigure;
}

}  // namespace

LearnedEffects LearnedEffectsOf(const Interference& interference) {
  LearnedEffects learned;
  for (const auto& [images, effect] : interference.m_pairs) {
    learned.m_pairs.push_back({images.first, images.second, effect});
  }
  for (const auto& [image, headroom] : interference.m_baselines) {
    learned.m_baselines.push_back({image, headroom});
  }
  return learned;
}

void ApplyLearnedEffects(Interference& interference,
                         const LearnedEffects& learned) {
  for (const LearnedPair& pair : learned.m_pairs) {
    if (!IsInRange(pair.m_effect)) continue;
    interference.m_pairs.emplace(
        std::make_pair(pair.m_serving, pair.m_best_effort), pair.m_effect);
    interference.m_best_effort_images.insert(pair.m_best_effort);
  }
  for (const LearnedBaseline& baseline : learned.m_baselines) {
    if (!IsInRange(baseline.m_headroom)) continue;
    interference.m_baselines.emplace(baseline.m_serving, baseline.m_headroom);
  }
  for (const LearnedPair& pair : learned.m_pairs) {
    CountIncompatible(interference, pair.m_serving);
  }
}

}  // namespace daisyarch::fleet
