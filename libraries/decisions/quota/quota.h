#pragma once

#include "base/resources.h"
#include "decisions/configuration/configuration.h"

namespace daisyarch {

/// The part of a team's quota that one partition may grant, so that all
/// partitions together stay within it without asking one another.
Resources PartitionQuota(const TeamQuota& quota, std::size_t partitions);

/// True when the team may hold `demand` more in this partition.
bool IsWithinQuota(const Configuration& configuration, const TeamId& team,
                   const Resources& held, const Resources& demand,
                   std::size_t partitions);

}  // namespace daisyarch
