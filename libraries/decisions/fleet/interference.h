#pragma once

#include <map>
#include <utility>

#include "base/ids.h"
#include "base/quantity.h"
#include "base/time.h"

namespace daisyarch::fleet {

/// How much one image of fillers lengthens the tail of one serving image,
/// learnt from what workers report.
struct PairEffect {
  /// Milliseconds of tail for a filler that uses the whole worker.
  double m_tail_ms = 0;
  std::uint32_t m_samples = 0;
};

/// What is known of the tasks' effects on each other.
struct Interference {
  std::map<std::pair<ImageId, ImageId>, PairEffect> m_pairs;
  /// Tails of serving images that no filler disturbs, in milliseconds.
  std::map<ImageId, double> m_base_tail_ms;
};

/// A serving image on one worker.
struct ServingImage {
  std::uint32_t m_count = 0;
  double m_tail_ms = 0;  ///< The worst, as last reported.
  Duration m_target{};   ///< The shortest.
};

/// Fillers of one image on one worker.
struct FillerImage {
  std::uint32_t m_count = 0;
  Millicores m_used;  ///< As last reported.
};

using ServingImages = std::map<ImageId, ServingImage>;
using FillerImages = std::map<ImageId, FillerImage>;

/// Takes one worker's figures of one moment.
void LearnInterference(Interference& interference, const ServingImages& serving,
                       const FillerImages& fillers, Millicores capacity);

/// What the fillers of one image add to the tail, if they use `processors`
/// of `capacity`; milliseconds.
double TailAddedBy(const Interference& interference, const ImageId& serving,
                   const ImageId& filler, Millicores processors,
                   Millicores capacity);

/// The share of `processors` that a filler may use beside these tasks, so
/// that their tails stay under their targets; 0 to 1.
double BearableShare(const Interference& interference,
                     const ServingImages& serving, const ImageId& filler,
                     Millicores processors, Millicores capacity);

}  // namespace daisyarch::fleet
