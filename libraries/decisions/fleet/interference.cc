#include "decisions/fleet/interference.h"

#include <algorithm>
#include <cmath>
#include <vector>

namespace daisyarch::fleet {

namespace {

// Headroom above this gives no further information about the effects.
constexpr double kMaximumHeadroom = 6.0;
// Variance of the headroom that best-effort tasks do not explain: the load of
// serving tasks varies.
constexpr double kHeadroomVariance = 0.25;
// Prior of a pair that never ran together: it may be harmless or very harmful,
// and one best-effort task shows which.
constexpr Estimate kUnknownEffect{5.0, 100.0};
// A pair is known once the variance of its effect is at most this.
constexpr double kKnownPairVariance = 15.0;
// Variance added per sample, since effects change over time.
constexpr double kEffectDrift = 0.1;
constexpr double kBaselineDrift = 0.001;
// Below this share of the worker, an effect is lost in noise.
constexpr double kMinimumShare = 0.01;
// Minimum headroom that placement plans for; at 1 the tail latency is at its
// target.
constexpr double kPlannedHeadroom = 1.25;
// From this effect on, an image can rarely share a worker with the serving
// image.
constexpr double kIncompatibleEffect = 4.0;

// Weight of a sample in the mean square of the deviations.
constexpr double kSwingGain = 0.02;
// Variance of the headroom's measurement alone.
constexpr double kNoiseVariance = 0.05;
// Standard deviations of the headroom that placement plans for.
constexpr double kPlannedDeviations = 1.0;

constexpr double kMicrosecondsPerMillisecond = 1000.0;

double ShareOf(Millicores processors, Millicores capacity) {
  return static_cast<double>(processors.value()) /
         static_cast<double>(std::max<std::int64_t>(1, capacity.value()));
}

double MillisecondsAsDouble(Duration duration) {
  return static_cast<double>(duration.count()) / kMicrosecondsPerMillisecond;
}

double HeadroomOf(const ServingImage& serving) {
  return std::min(kMaximumHeadroom, MillisecondsAsDouble(serving.m_target) /
                                        serving.m_mean_tail_latency_ms);
}

Estimate EffectOf(const Interference& interference, const ImageId& serving,
                  const ImageId& best_effort_image) {
  const auto found = interference.m_pairs.find(
      std::pair<const ImageId&, const ImageId&>(serving, best_effort_image));
  return found == interference.m_pairs.end() ? kUnknownEffect : found->second;
}

// Returns the mean plus half a standard deviation.
double ConservativeEffect(const Estimate& effect) {
  return effect.m_mean + std::sqrt(effect.m_variance) / 2;
}

// One estimate that explains a sample, its factor in the sample, and the
// variance that is added per sample.
struct Contribution {
  Estimate& m_estimate;
  double m_factor;
  double m_drift;
};

bool IsIncompatible(const Estimate& effect) {
  return effect.m_mean >= kIncompatibleEffect;
}

// Returns the effect of the pair, which is added if it is not known.
Estimate& AddEffect(Interference& interference, const ImageId& serving,
                    const ImageId& best_effort_image) {
  const auto found = interference.m_pairs.find(
      std::pair<const ImageId&, const ImageId&>(serving, best_effort_image));
  if (found != interference.m_pairs.end()) return found->second;
  Estimate& effect =
      interference.m_pairs
          .emplace(std::make_pair(serving, best_effort_image), kUnknownEffect)
          .first->second;
  CountIncompatible(interference, serving);
  return effect;
}

std::vector<Contribution> ContributionsOf(Interference& interference,
                                          const ImageId& serving,
                                          const BestEffortImages& best_effort,
                                          Millicores capacity) {
  std::vector<Contribution> contributions;
  for (const auto& [best_effort_image, use] : best_effort) {
    const double share = ShareOf(use.m_used, capacity);
    if (share < kMinimumShare) continue;
    contributions.push_back(
        {AddEffect(interference, serving, best_effort_image), -share,
         kEffectDrift});
  }
  return contributions;
}

// A Kalman filter with a diagonal covariance: the error is attributed mostly to
// uncertain pairs, and little of it to well-known ones.
void UpdateEstimates(const std::vector<Contribution>& contributions,
                     double error) {
  double variance = kHeadroomVariance;
  for (const Contribution& contribution : contributions) {
    variance += contribution.m_factor * contribution.m_factor *
                contribution.m_estimate.m_variance;
  }
  for (const Contribution& contribution : contributions) {
    Estimate& estimate = contribution.m_estimate;
    const double gain = estimate.m_variance * contribution.m_factor / variance;
    estimate.m_mean = std::max(0.0, estimate.m_mean + gain * error);
    estimate.m_variance =
        estimate.m_variance * (1.0 - gain * contribution.m_factor) +
        contribution.m_drift;
  }
}

void AddServingImageSample(Interference& interference, const ImageId& image,
                           ServingImage& serving,
                           const BestEffortImages& best_effort,
                           Millicores capacity) {
  const double headroom = HeadroomOf(serving);
  Estimate& baseline =
      interference.m_baselines
          .try_emplace(image, Estimate{headroom, kHeadroomVariance})
          .first->second;
  std::vector<Contribution> contributions =
      ContributionsOf(interference, image, best_effort, capacity);
  const std::ptrdiff_t effects =
      std::distance(contributions.begin(), contributions.end());
  const auto count_incompatible = [&contributions, effects] {
    return std::count_if(contributions.begin(), contributions.begin() + effects,
                         [](const Contribution& effect) {
                           return IsIncompatible(effect.m_estimate);
                         });
  };
  const auto incompatible = count_incompatible();
  contributions.push_back({baseline, 1.0, kBaselineDrift});
  double expected = 0;
  for (const Contribution& contribution : contributions) {
    expected += contribution.m_estimate.m_mean * contribution.m_factor;
  }
  serving.m_deviation = headroom - expected;
  double& swing =
      interference.m_swings.try_emplace(image, kHeadroomVariance).first->second;
  swing += kSwingGain * (serving.m_deviation * serving.m_deviation - swing);
  UpdateEstimates(contributions, serving.m_deviation);
  if (count_incompatible() != incompatible) {
    CountIncompatible(interference, image);
  }
}

// A worker that has shrunk may run more than its capacity, of which no share
// can be told.
bool IsUseBeyond(const BestEffortImages& best_effort, Millicores capacity) {
  Millicores used;
  for (const auto& entry : best_effort) used += entry.second.m_used;
  return capacity < used;
}

double BaselineHeadroomOf(const Interference& interference,
                          const ImageId& serving) {
  const auto found = interference.m_baselines.find(serving);
  return found == interference.m_baselines.end() ? kMaximumHeadroom
                                                 : found->second.m_mean;
}

// Returns how far the headroom falls below its mean when the load that the
// image serves is high.
double SwingOf(const Interference& interference, const ImageId& serving) {
  const auto found = interference.m_swings.find(serving);
  return found == interference.m_swings.end()
             ? 0.0
             : kPlannedDeviations *
                   std::sqrt(std::max(0.0, found->second - kNoiseVariance));
}

}  // namespace

void CountIncompatible(Interference& interference, const ImageId& serving) {
  std::uint32_t& count = interference.m_incompatible_counts[serving];
  count = 0;
  for (auto pair = interference.m_pairs.lower_bound({serving, ImageId()});
       pair != interference.m_pairs.end() && pair->first.first == serving;
       ++pair) {
    if (IsIncompatible(pair->second)) ++count;
  }
}

void AddInterferenceSample(Interference& interference, ServingImages& serving,
                           const BestEffortImages& best_effort,
                           Millicores capacity) {
  if (IsUseBeyond(best_effort, capacity)) return;
  for (auto& [image, serving_image] : serving) {
    if (serving_image.m_mean_tail_latency_ms <= 0) continue;
    ++interference.m_sample_count;
    AddServingImageSample(interference, image, serving_image, best_effort,
                          capacity);
  }
  for (const auto& entry : best_effort)
    interference.m_best_effort_images.insert(entry.first);
}

double HeadroomLoss(const Interference& interference, const ImageId& serving,
                    const ImageId& best_effort_image, Millicores processors,
                    Millicores capacity) {
  return EffectOf(interference, serving, best_effort_image).m_mean *
         ShareOf(processors, capacity);
}

std::vector<ServingHeadroom> ExpectedHeadrooms(
    const Interference& interference, const ServingImages& serving,
    const BestEffortImages& best_effort, Millicores capacity) {
  std::vector<ServingHeadroom> headrooms;
  for (const auto& [image, serving_image] : serving) {
    double headroom =
        BaselineHeadroomOf(interference, image) +
        std::min(serving_image.m_deviation, -SwingOf(interference, image));
    for (const auto& [best_effort_image, use] : best_effort) {
      headroom -=
          ConservativeEffect(EffectOf(interference, image, best_effort_image)) *
          ShareOf(use.m_demand, capacity);
    }
    headrooms.push_back({image, headroom});
  }
  return headrooms;
}

bool IsHeadroomTooLow(double headroom) { return headroom < kPlannedHeadroom; }

Compatibility CompatibilityOf(double headroom, const PlannedEffect& effect,
                              Millicores demand, Millicores capacity) {
  if (IsHeadroomTooLow(headroom)) return Compatibility::kIncompatible;
  if (!effect.m_is_known) return Compatibility::kUncertain;
  const double left =
      headroom - effect.m_headroom_loss * ShareOf(demand, capacity);
  return left < kPlannedHeadroom ? Compatibility::kIncompatible
                                 : Compatibility::kCompatible;
}

Compatibility CompatibilityOf(const Interference& interference,
                              const ServingHeadroom& serving,
                              const ImageId& best_effort_image,
                              Millicores demand, Millicores capacity) {
  return CompatibilityOf(
      serving.m_headroom,
      PlannedEffectOf(interference, serving.m_image, best_effort_image), demand,
      capacity);
}

PlannedEffect PlannedEffectOf(const Interference& interference,
                              const ImageId& serving,
                              const ImageId& best_effort_image) {
  const Estimate effect = EffectOf(interference, serving, best_effort_image);
  return {ConservativeEffect(effect), effect.m_variance <= kKnownPairVariance};
}

ServingNumber ServingNumberOf(Interference& interference,
                              const ImageId& serving) {
  auto& numbers = interference.m_serving_numbers;
  return numbers.try_emplace(serving, ServingNumber(numbers.size()))
      .first->second;
}

double IncompatibleShare(const Interference& interference,
                         const ServingImages& serving) {
  std::uint32_t incompatible = 0;
  for (const auto& entry : serving) {
    const auto found = interference.m_incompatible_counts.find(entry.first);
    if (found == interference.m_incompatible_counts.end()) continue;
    incompatible = std::max(incompatible, found->second);
  }
  return static_cast<double>(incompatible) /
         static_cast<double>(std::max<std::size_t>(
             1, interference.m_best_effort_images.size()));
}

}  // namespace daisyarch::fleet
