#pragma once

#include <cstddef>
#include <cstdint>
#include <map>
#include <set>
#include <tuple>
#include <utility>
#include <vector>

#include "base/ids.h"
#include "base/quantity.h"
#include "base/strong_id.h"
#include "base/time.h"

namespace daisyarch::fleet {

/// Number of a serving image, counted from 0; indexes the effects on it.
using ServingNumber = StrongId<struct ServingNumberTag, std::size_t>;

/// Mean and variance of a quantity that is learned from noisy samples.
struct Estimate {
  double m_mean = 0;
  double m_variance = 0;
};

/// Orders pairs of images; compares with references to images as well, so that
/// no image is copied to find a pair.
struct ImagePairOrder {
  using is_transparent = void;  // NOLINT(readability-identifier-naming)
  template <typename Left, typename Right>
  bool operator()(const Left& left, const Right& right) const {
    return std::tie(left.first, left.second) <
           std::tie(right.first, right.second);
  }
};

/// Learned effects of best-effort tasks on serving tasks. Headroom is the
/// latency target of a serving task divided by its tail latency. The effects
/// of several tasks on the headroom add up, those on the tail latency do not.
struct Interference {
  /// Headroom that a serving image would lose to a best-effort image that used
  /// the whole worker; the serving image comes first in the key.
  std::map<std::pair<ImageId, ImageId>, Estimate, ImagePairOrder> m_pairs;
  /// Headroom of serving images without best-effort tasks on the worker.
  std::map<ImageId, Estimate> m_baselines;
  /// Mean square of the deviations of each serving image's headroom from what
  /// is expected; the load that it serves swings.
  std::map<ImageId, double> m_swings;
  /// Number of best-effort images that each serving image cannot share a worker
  /// with.
  std::map<ImageId, std::uint32_t> m_incompatible_counts;
  std::set<ImageId> m_best_effort_images;  ///< Images that have run.
  std::map<ImageId, ServingNumber> m_serving_numbers;  ///< Never reused.
  std::uint64_t m_sample_count = 0;
};

/// The tasks of one serving image on one worker.
struct ServingImage {
  std::uint32_t m_count = 0;
  /// Maximum over the tasks, as last reported; 0: none has reported one.
  double m_tail_latency_ms = 0;
  /// Mean over the same tasks.
  double m_mean_tail_latency_ms = 0;
  Duration m_target{};  ///< Shortest latency target of the tasks.
  /// Last measured headroom minus the expected headroom; varies with the load
  /// that the tasks serve.
  double m_deviation = 0;
};

/// The best-effort tasks of one image on one worker.
struct BestEffortImage {
  std::uint32_t m_count = 0;
  Millicores m_demand;  ///< Sum over the tasks.
  Millicores m_used;    ///< Sum over the tasks, as last reported.
};

using ServingImages = std::map<ImageId, ServingImage>;
using BestEffortImages = std::map<ImageId, BestEffortImage>;

/// A serving image on one worker, and its expected headroom when the
/// best-effort tasks on the worker use their whole demand.
struct ServingHeadroom {
  ImageId m_image;
  double m_headroom = 0;
  ServingNumber m_number;  ///< Set only in Worker::m_headrooms.
};

/// Effect of a best-effort image on a serving image that placement plans with.
struct PlannedEffect {
  /// Headroom that would be lost if the image used the whole worker.
  double m_headroom_loss = 0;
  bool m_is_known = false;
};

/// Updates the estimates with one sample of a worker. Ignores a sample in which
/// the best-effort tasks use more than the capacity.
void AddInterferenceSample(Interference& interference, ServingImages& serving,
                           const BestEffortImages& best_effort,
                           Millicores capacity);

/// Counts anew how many images the serving image cannot share a worker with.
void CountIncompatible(Interference& interference, const ImageId& serving);

/// Returns the headroom that the serving image loses to best-effort tasks of
/// one image that use `processors` of `capacity`.
double HeadroomLoss(const Interference& interference, const ImageId& serving,
                    const ImageId& best_effort_image, Millicores processors,
                    Millicores capacity);

/// Whether one more best-effort task may share a worker with a serving image.
enum class Compatibility : std::uint8_t {
  kCompatible,    ///< The tail latency stays well under its target.
  kUncertain,     ///< The effect is not known; one task per worker may try it.
  kIncompatible,  ///< The headroom would be less than placement plans for.
};

/// Returns whether a serving image with this headroom tolerates no best-effort
/// task more, whatever its image.
bool IsHeadroomTooLow(double headroom);

/// Returns the expected headroom of each serving image on a worker.
std::vector<ServingHeadroom> ExpectedHeadrooms(
    const Interference& interference, const ServingImages& serving,
    const BestEffortImages& best_effort, Millicores capacity);

/// Returns whether a serving image with this headroom tolerates one more
/// best-effort task of `demand`.
Compatibility CompatibilityOf(const Interference& interference,
                              const ServingHeadroom& serving,
                              const ImageId& best_effort_image,
                              Millicores demand, Millicores capacity);

/// The same from an effect that has been looked up.
Compatibility CompatibilityOf(double headroom, const PlannedEffect& effect,
                              Millicores demand, Millicores capacity);

/// Returns the effect of one pair of images.
PlannedEffect PlannedEffectOf(const Interference& interference,
                              const ImageId& serving,
                              const ImageId& best_effort_image);

/// Returns the number of the serving image; a new image gets the next one.
ServingNumber ServingNumberOf(Interference& interference,
                              const ImageId& serving);

/// Returns the share of the known best-effort images that are incompatible
/// with the most sensitive of these serving images; 0 to 1.
double IncompatibleShare(const Interference& interference,
                         const ServingImages& serving);

}  // namespace daisyarch::fleet
