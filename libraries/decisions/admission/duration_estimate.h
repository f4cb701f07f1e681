#pragma once

#include "base/time.h"

namespace daisyarch {

/// A running mean and mean deviation of durations.
struct DurationEstimate {
  double m_mean = 0;  ///< Microseconds.
  double m_deviation = 0;
  bool m_is_known = false;
};

void AddSample(DurationEstimate& estimate, Duration sample);

/// The mean; zero when nothing is known.
Duration Mean(const DurationEstimate& estimate);

/// A duration that few samples exceed.
Duration UpperBound(const DurationEstimate& estimate);

}  // namespace daisyarch
