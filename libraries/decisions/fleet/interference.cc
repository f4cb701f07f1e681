#include "decisions/fleet/interference.h"

#include <algorithm>

namespace daisyarch::fleet {

namespace {

// Normalized least mean squares: the share of an error that one sample
// corrects.
constexpr double kLearningRate = 0.1;
constexpr double kBaseRate = 0.05;
// Tails far over the target say no more about the slope.
constexpr double kMaximumTailTargets = 4.0;
// Until pairs have been seen together, a filler is taken to be mildly
// harmful, so that it is tried with care.
constexpr double kUnknownTailMs = 40.0;
constexpr std::uint32_t kKnownSamples = 3;
// Below this share of the worker a filler's effect drowns in noise.
constexpr double kLeastShare = 0.01;
// The tail has to stay under this share of the target.
constexpr double kTargetShare = 0.65;

constexpr double kMicrosecondsPerMillisecond = 1000.0;

double ShareOf(Millicores processors, Millicores capacity) {
  return static_cast<double>(processors.value()) /
         static_cast<double>(std::max<std::int64_t>(1, capacity.value()));
}

double InMs(Duration duration) {
  return static_cast<double>(duration.count()) / kMicrosecondsPerMillisecond;
}

double EffectOf(const Interference& interference, const ImageId& serving,
                const ImageId& filler) {
  const auto found = interference.m_pairs.find({serving, filler});
  if (found == interference.m_pairs.end()) return kUnknownTailMs;
  const PairEffect& effect = found->second;
  if (effect.m_samples >= kKnownSamples) return effect.m_tail_ms;
  return std::max(kUnknownTailMs, effect.m_tail_ms);
}

double& BaseOf(Interference& interference, const ImageId& serving,
               double tail) {
  return interference.m_base_tail_ms.emplace(serving, tail).first->second;
}

void LearnServing(Interference& interference, const ImageId& image,
                  const ServingImage& serving, const FillerImages& fillers,
                  Millicores capacity) {
  const double tail =
      std::min(serving.m_tail_ms, kMaximumTailTargets * InMs(serving.m_target));
  double& base = BaseOf(interference, image, tail);
  double expected = base;
  double norm = 0;
  for (const auto& [filler, use] : fillers) {
    const double share = ShareOf(use.m_used, capacity);
    if (share < kLeastShare) continue;
    PairEffect& effect = interference.m_pairs[{image, filler}];
    expected += effect.m_tail_ms * share;
    norm += share * share;
  }
  if (norm == 0) {
    base += kBaseRate * (tail - base);
    return;
  }
  const double error = tail - expected;
  for (const auto& [filler, use] : fillers) {
    const double share = ShareOf(use.m_used, capacity);
    if (share < kLeastShare) continue;
    PairEffect& effect = interference.m_pairs[{image, filler}];
    effect.m_tail_ms =
        std::max(0.0, effect.m_tail_ms + kLearningRate * error * share / norm);
    ++effect.m_samples;
  }
}

}  // namespace

void LearnInterference(Interference& interference, const ServingImages& serving,
                       const FillerImages& fillers, Millicores capacity) {
  for (const auto& [image, one] : serving) {
    if (one.m_tail_ms <= 0) continue;
    LearnServing(interference, image, one, fillers, capacity);
  }
}

double TailAddedBy(const Interference& interference, const ImageId& serving,
                   const ImageId& filler, Millicores processors,
                   Millicores capacity) {
  return EffectOf(interference, serving, filler) *
         ShareOf(processors, capacity);
}

double BearableShare(const Interference& interference,
                     const ServingImages& serving, const ImageId& filler,
                     Millicores processors, Millicores capacity) {
  double share = 1.0;
  for (const auto& [image, one] : serving) {
    const double added =
        TailAddedBy(interference, image, filler, processors, capacity);
    if (added <= 0) continue;
    const double room =
        std::max(0.0, kTargetShare * InMs(one.m_target) - one.m_tail_ms);
    share = std::min(share, room / added);
  }
  return share;
}

}  // namespace daisyarch::fleet
