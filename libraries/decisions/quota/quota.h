#pragma once

#include "base/resources.h"
#include "decisions/configuration/configuration.h"

namespace daisyarch {

/// Returns the part of a team's quota that one partition may grant. All
/// partitions together stay within the quota without communicating.
Resources PartitionQuota(const TeamQuota& quota, std::size_t partitions);

/// Returns true when the team has no quota, or may reserve `demand` in this
/// partition in addition to `held`.
bool IsWithinQuota(const Configuration& configuration, const TeamId& team,
                   const Resources& held, const Resources& demand,
                   std::size_t partitions);

}  // namespace daisyarch
