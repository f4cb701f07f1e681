#include "decisions/admission/duration_estimate.h"

#include <cmath>

namespace daisyarch {

namespace {

constexpr double kMeanGain = 1.0 / 16;
constexpr double kDeviationGain = 1.0 / 16;
constexpr double kDeviationsInBound = 3;

Duration FromMicroseconds(double microseconds) {
  return Duration(static_cast<Duration::rep>(microseconds));
}

}  // namespace

void AddSample(DurationEstimate& estimate, Duration sample) {
  const auto value = static_cast<double>(sample.count());
  if (!estimate.m_is_known) {
    estimate.m_is_known = true;
    estimate.m_mean = value;
    estimate.m_deviation = value / 2;
    return;
  }
  const double error = value - estimate.m_mean;
  estimate.m_mean += kMeanGain * error;
  estimate.m_deviation +=
      kDeviationGain * (std::abs(error) - estimate.m_deviation);
}

Duration Mean(const DurationEstimate& estimate) {
  return FromMicroseconds(estimate.m_mean);
}

Duration UpperBound(const DurationEstimate& estimate) {
  return FromMicroseconds(estimate.m_mean +
                          kDeviationsInBound * estimate.m_deviation);
}

}  // namespace daisyarch
