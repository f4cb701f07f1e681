#pragma once

#include <map>
#include <vector>

#include "base/ids.h"

namespace daisyarch {

/// Returns the node that should own each partition; empty without nodes. Every
/// node computes the same result from the same lists. The numbers of partitions
/// per node differ by at most one. When a node joins or leaves, few partitions
/// move besides its own.
std::map<PartitionId, NodeId> AssignPartitions(
    const std::vector<PartitionId>& partitions,
    const std::vector<NodeId>& nodes);

/// Returns the partition that a job belongs to permanently. `partitions` must
/// not be empty.
PartitionId HomePartition(const std::vector<PartitionId>& partitions,
                          JobId job);

}  // namespace daisyarch
