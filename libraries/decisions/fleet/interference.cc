#include "decisions/fleet/interference.h"

#include <algorithm>
#include <cmath>
#include <vector>

namespace daisyarch::fleet {

namespace {

// Tails far under the target say no more about the effects.
constexpr double kMaximumHeadroom = 6.0;
// Of the headroom around what the fillers explain: the load of serving tasks
// goes up and down.
constexpr double kHeadroomVariance = 0.25;
// What is taken of a pair that was never seen together: it may be harmless
// or very harmful, and one filler shows which.
constexpr Estimate kUnknownEffect{5.0, 100.0};
// A pair is known once its effect varies by less.
constexpr double kUncertainVariance = 15.0;
// Effects change over time, by this much a reading.
constexpr double kEffectDrift = 0.1;
constexpr double kUndisturbedDrift = 0.001;
// Below this share of the worker a filler's effect drowns in noise.
constexpr double kLeastShare = 0.01;
// The planned headroom; 1 would have the tail at its target.
constexpr double kPlannedHeadroom = 1.25;
// An effect that lets few fillers beside the serving tasks.
constexpr double kHarmfulEffect = 4.0;

constexpr double kMicrosecondsPerMillisecond = 1000.0;

double ShareOf(Millicores processors, Millicores capacity) {
  return static_cast<double>(processors.value()) /
         static_cast<double>(std::max<std::int64_t>(1, capacity.value()));
}

double InMs(Duration duration) {
  return static_cast<double>(duration.count()) / kMicrosecondsPerMillisecond;
}

double HeadroomOf(const ServingImage& serving) {
  return std::min(kMaximumHeadroom,
                  InMs(serving.m_target) / serving.m_mean_tail_ms);
}

Estimate EffectOf(const Interference& interference, const ImageId& serving,
                  const ImageId& filler) {
  const auto found = interference.m_pairs.find({serving, filler});
  return found == interference.m_pairs.end() ? kUnknownEffect : found->second;
}

// Allows for half a standard deviation.
double CautiousEffect(const Estimate& effect) {
  return effect.m_mean + std::sqrt(effect.m_variance) / 2;
}

// One of the figures that explain a reading, and how much of it counts.
struct Term {
  Estimate& m_estimate;
  double m_factor;
  double m_drift;
};

std::vector<Term> TermsOf(Interference& interference, const ImageId& serving,
                          const FillerImages& fillers, Millicores capacity) {
  std::vector<Term> terms;
  for (const auto& [filler, use] : fillers) {
    const double share = ShareOf(use.m_used, capacity);
    if (share < kLeastShare) continue;
    const auto pair = interference.m_pairs.emplace(
        std::make_pair(serving, filler), kUnknownEffect);
    terms.push_back({pair.first->second, -share, kEffectDrift});
  }
  return terms;
}

// A Kalman filter with a diagonal covariance: what is well known takes little
// of the blame for what an unknown pair does.
void Correct(const std::vector<Term>& terms, double error) {
  double variance = kHeadroomVariance;
  for (const Term& term : terms) {
    variance += term.m_factor * term.m_factor * term.m_estimate.m_variance;
  }
  for (const Term& term : terms) {
    Estimate& estimate = term.m_estimate;
    const double gain = estimate.m_variance * term.m_factor / variance;
    estimate.m_mean = std::max(0.0, estimate.m_mean + gain * error);
    estimate.m_variance =
        estimate.m_variance * (1.0 - gain * term.m_factor) + term.m_drift;
  }
}

void CountHarmful(Interference& interference, const ImageId& serving) {
  std::uint32_t& count = interference.m_harmful[serving];
  count = 0;
  for (auto pair = interference.m_pairs.lower_bound({serving, ImageId()});
       pair != interference.m_pairs.end() && pair->first.first == serving;
       ++pair) {
    if (pair->second.m_mean >= kHarmfulEffect) ++count;
  }
}

void LearnServing(Interference& interference, const ImageId& image,
                  ServingImage& serving, const FillerImages& fillers,
                  Millicores capacity) {
  const double headroom = HeadroomOf(serving);
  Estimate& undisturbed =
      interference.m_undisturbed
          .emplace(image, Estimate{headroom, kHeadroomVariance})
          .first->second;
  std::vector<Term> terms = TermsOf(interference, image, fillers, capacity);
  terms.push_back({undisturbed, 1.0, kUndisturbedDrift});
  double expected = 0;
  for (const Term& term : terms) {
    expected += term.m_estimate.m_mean * term.m_factor;
  }
  serving.m_deviation = headroom - expected;
  Correct(terms, serving.m_deviation);
  CountHarmful(interference, image);
}

double UndisturbedOf(const Interference& interference, const ImageId& serving) {
  const auto found = interference.m_undisturbed.find(serving);
  return found == interference.m_undisturbed.end() ? kMaximumHeadroom
                                                   : found->second.m_mean;
}

}  // namespace

void LearnInterference(Interference& interference, ServingImages& serving,
                       const FillerImages& fillers, Millicores capacity) {
  for (auto& [image, one] : serving) {
    if (one.m_mean_tail_ms <= 0) continue;
    LearnServing(interference, image, one, fillers, capacity);
  }
  for (const auto& entry : fillers) interference.m_fillers.insert(entry.first);
}

double HeadroomTakenBy(const Interference& interference, const ImageId& serving,
                       const ImageId& filler, Millicores processors,
                       Millicores capacity) {
  return EffectOf(interference, serving, filler).m_mean *
         ShareOf(processors, capacity);
}

std::vector<ServingHeadroom> HeadroomsBeside(const Interference& interference,
                                             const ServingImages& serving,
                                             const FillerImages& fillers,
                                             Millicores capacity) {
  std::vector<ServingHeadroom> headrooms;
  for (const auto& [image, one] : serving) {
    double headroom =
        UndisturbedOf(interference, image) + std::min(0.0, one.m_deviation);
    for (const auto& [filler, use] : fillers) {
      headroom -= CautiousEffect(EffectOf(interference, image, filler)) *
                  ShareOf(use.m_demand, capacity);
    }
    headrooms.push_back({image, headroom});
  }
  return headrooms;
}

Bearing BearingOf(const Interference& interference,
                  const ServingHeadroom& serving, const ImageId& filler,
                  Millicores demand, Millicores capacity) {
  if (serving.m_headroom < kPlannedHeadroom) return Bearing::kSuffers;
  const Estimate effect = EffectOf(interference, serving.m_image, filler);
  if (effect.m_variance > kUncertainVariance) return Bearing::kUncertain;
  const double left =
      serving.m_headroom - CautiousEffect(effect) * ShareOf(demand, capacity);
  return left < kPlannedHeadroom ? Bearing::kSuffers : Bearing::kBears;
}

double Exclusiveness(const Interference& interference,
                     const ServingImages& serving) {
  std::uint32_t harmful = 0;
  for (const auto& entry : serving) {
    const auto found = interference.m_harmful.find(entry.first);
    if (found == interference.m_harmful.end()) continue;
    harmful = std::max(harmful, found->second);
  }
  return static_cast<double>(harmful) /
         static_cast<double>(
             std::max<std::size_t>(1, interference.m_fillers.size()));
}

}  // namespace daisyarch::fleet
