#pragma once

#include <cstdint>
#include <map>
#include <set>
#include <utility>
#include <vector>

#include "base/ids.h"
#include "base/quantity.h"
#include "base/time.h"

namespace daisyarch::fleet {

/// A figure that is learnt from noisy readings.
struct Estimate {
  double m_mean = 0;
  double m_variance = 0;
};

/// What is known of the effects of tasks on each other. Headroom is a serving
/// task's target divided by its tail: what the tasks beside it take of it adds
/// up, while their effects on the tail itself do not.
struct Interference {
  /// The headroom of a serving image that a filler's image would take if it
  /// used the whole worker; serving image first.
  std::map<std::pair<ImageId, ImageId>, Estimate> m_pairs;
  /// Headroom of serving images that no filler disturbs.
  std::map<ImageId, Estimate> m_baselines;
  /// How many images of fillers each serving image cannot bear.
  std::map<ImageId, std::uint32_t> m_incompatible_counts;
  std::set<ImageId> m_best_effort_images;  ///< Images of fillers that have run.
};

/// A serving image on one worker.
struct ServingImage {
  std::uint32_t m_count = 0;
  double m_tail_latency_ms = 0;  ///< The worst, as last reported.
  double m_mean_tail_latency_ms =
      0;                ///< Of the tasks at work, as last reported.
  Duration m_target{};  ///< The shortest.
  /// How far the headroom last was from what was expected, as the load that
  /// these tasks serve goes up and down.
  double m_deviation = 0;
};

/// Fillers of one image on one worker.
struct BestEffortImage {
  std::uint32_t m_count = 0;
  Millicores m_demand;  ///< Of all of them, if they get what they ask for.
  Millicores m_used;    ///< As last reported.
};

using ServingImages = std::map<ImageId, ServingImage>;
using BestEffortImages = std::map<ImageId, BestEffortImage>;

/// A serving image on one worker, and the headroom that the fillers beside it
/// leave, once they use all that they ask for.
struct ServingHeadroom {
  ImageId m_image;
  double m_headroom = 0;
};

/// Takes one worker's figures of one moment.
void LearnInterference(Interference& interference, ServingImages& serving,
                       const BestEffortImages& best_effort,
                       Millicores capacity);

/// The headroom that fillers of one image take if they use `processors` of
/// `capacity`.
double HeadroomLoss(const Interference& interference, const ImageId& serving,
                    const ImageId& best_effort_image, Millicores processors,
                    Millicores capacity);

/// What a worker's serving tasks can say to one more filler.
enum class Compatibility : std::uint8_t {
  kCompatible,  ///< Tails stay well under their targets.
  kUncertain,   ///< Some pair is not known yet; to be tried one at a time.
  kIncompatible,
};

std::vector<ServingHeadroom> ExpectedHeadrooms(
    const Interference& interference, const ServingImages& serving,
    const BestEffortImages& best_effort, Millicores capacity);

/// Whether a serving image with this headroom can bear one more filler of
/// `demand`.
Compatibility CompatibilityOf(const Interference& interference,
                              const ServingHeadroom& serving,
                              const ImageId& best_effort_image,
                              Millicores demand, Millicores capacity);

/// The share of known images of fillers that these serving tasks cannot bear;
/// 0 to 1.
double IncompatibleShare(const Interference& interference,
                         const ServingImages& serving);

}  // namespace daisyarch::fleet
