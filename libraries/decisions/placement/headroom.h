#pragma once

#include <map>

#include "base/ids.h"
#include "base/quantity.h"
#include "base/time.h"
#include "decisions/configuration/configuration.h"
#include "decisions/placement/partition_state.h"

namespace daisyarch {

/// The most that each class has needed of late, decayed over time.
struct ClassDemands {
  std::map<ClassId, Millicores> m_peak;
  TimePoint m_updated_at{};
};

/// The time in which a need that is gone fades to half.
constexpr Duration kDemandHalfLife = std::chrono::minutes(10);

/// Raises each need to what its class holds and waits for now.
void UpdateClassDemands(ClassDemands& demands, const PartitionState& state,
                        TimePoint now);

/// What a class keeps of `capacity` while others flood in.
Millicores GuaranteedShare(const ClassTarget& target, Millicores capacity);

/// What the other classes keep, need and do not hold: a class beyond its own
/// kept share must leave this much free.
Millicores HeadroomForOthers(const Configuration& configuration,
                             const ClassDemands& demands,
                             const PartitionState& state,
                             const ClassId& class_id, Millicores capacity);

}  // namespace daisyarch
