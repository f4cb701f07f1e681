#pragma once

#include <functional>

#include "base/result.h"
#include "base/time.h"
#include "decisions/placement/partition_engine.h"
#include "journal/partition_head.h"
#include "platform/platform.h"

namespace daisyarch {

/// A claimed partition with its recovered state and its head.
struct ClaimedPartition {
  PartitionEngine m_engine;
  PartitionHead m_head;
  StoreVersion m_head_version;
};

/// The inputs of a claim.
struct ClaimParameters {
  PartitionId m_partition;
  NodeId m_node;
  Incarnation m_incarnation;
  const PlacementStateMachines* m_state_machines = nullptr;
  std::function<TimePoint()> m_now;
};

using ClaimCallback = std::function<void(Result<ClaimedPartition>)>;

/// Takes over a partition: raises the epoch in its head, reads the snapshot and
/// the journal, and writes a claim record into the journal that fences the
/// previous owner. Each step may be repeated after a crash. kNotOwner while the
/// current owner's lease is valid; kConflict when another node claimed the
/// partition first.
void ClaimPartition(const Platform& platform, const ClaimParameters& parameters,
                    ClaimCallback on_answer);

}  // namespace daisyarch
