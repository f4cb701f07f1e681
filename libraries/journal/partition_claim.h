#pragma once

#include <functional>

#include "base/result.h"
#include "base/time.h"
#include "decisions/placement/partition_engine.h"
#include "journal/partition_head.h"
#include "platform/platform.h"

namespace daisyarch {

/// A partition as its new owner finds it.
struct ClaimedPartition {
  PartitionEngine m_engine;
  PartitionHead m_head;
  StoreVersion m_head_version;
};

/// What a claim needs to know.
struct ClaimParameters {
  PartitionId m_partition;
  NodeId m_node;
  Incarnation m_incarnation;
  const PlacementMachines* m_machines = nullptr;
  std::function<TimePoint()> m_now;
};

using ClaimCallback = std::function<void(Result<ClaimedPartition>)>;

/// Takes a partition over: raises the epoch in its head, reads snapshot and
/// journal, and writes a claim into the journal that fences the owner
/// before. Each step may be repeated after a crash. kNotOwner while the
/// owner's lease lasts; kConflict when another node was faster.
void ClaimPartition(const Platform& platform, const ClaimParameters& parameters,
                    ClaimCallback on_answer);

}  // namespace daisyarch
