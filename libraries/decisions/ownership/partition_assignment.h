#pragma once

#include <map>
#include <vector>

#include "base/ids.h"

namespace daisyarch {

/// Which node should own each partition. The same on every node for the
/// same lists; loads differ by at most one, and a join or leave moves few
/// partitions beyond those of the node itself.
std::map<PartitionId, NodeId> AssignPartitions(
    const std::vector<PartitionId>& partitions,
    const std::vector<NodeId>& nodes);

/// The partition that keeps a job, for good; `partitions` must not be empty.
PartitionId HomePartition(const std::vector<PartitionId>& partitions,
                          JobId job);

}  // namespace daisyarch
