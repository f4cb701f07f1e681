#pragma once

#include <map>

#include "base/ids.h"
#include "base/quantity.h"
#include "base/time.h"
#include "decisions/configuration/configuration.h"
#include "decisions/placement/partition_state.h"

namespace daisyarch {

/// The recent peak demand of each class, which decays over time.
struct ClassDemands {
  std::map<ClassId, Millicores> m_peak;  ///< Reserved and queued processors.
  TimePoint m_updated_at{};
};

/// The time in which a peak demand decays to half.
constexpr Duration kDemandHalfLife = std::chrono::minutes(10);

/// Decays each peak demand and raises it to what the class has reserved and
/// queued now.
void UpdateClassDemands(ClassDemands& demands, const PartitionState& state,
                        TimePoint now);

/// Returns the part of `capacity` that is guaranteed to a class under load from
/// other classes (`m_keep_percent`).
Millicores GuaranteedShare(const ClassTarget& target, Millicores capacity);

/// Returns the processors that a class above its own guaranteed share must
/// leave free: for each other class, its guaranteed share or its recent peak
/// demand, whichever is less, minus what it has reserved. Request classes,
/// which do not run on workers, are left out.
Millicores HeadroomForOthers(const Configuration& configuration,
                             const ClassDemands& demands,
                             const PartitionState& state,
                             const ClassId& class_id, Millicores capacity);

}  // namespace daisyarch
