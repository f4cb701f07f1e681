#pragma once

#include <cstdint>
#include <string>

#include "base/ids.h"
#include "wire/field_codec.h"

namespace daisyarch {

/// The stored ownership of a partition and the location of its snapshot.
struct PartitionHead {
  Epoch m_epoch;
  NodeId m_owner;
  Incarnation m_incarnation;
  bool m_is_released = true;          ///< The owner released the partition.
  SequenceNumber m_snapshot_through;  ///< The last batch in the snapshot.
  Epoch m_snapshot_epoch;             ///< Of the owner that wrote the snapshot.
  std::uint32_t m_snapshot_chunks = 0;
};

template <typename Visitor>
void VisitFields(Visitor& visit, PartitionHead& head) {
  visit("epoch", head.m_epoch);
  visit("owner", head.m_owner);
  visit("incarnation", head.m_incarnation);
  visit("is_released", head.m_is_released);
  visit("snapshot_through", head.m_snapshot_through);
  visit("snapshot_epoch", head.m_snapshot_epoch);
  visit("snapshot_chunks", head.m_snapshot_chunks);
}

/// The value that a node keeps in the store under its lease.
struct NodePresence {
  Incarnation m_incarnation;
};

template <typename Visitor>
void VisitFields(Visitor& visit, NodePresence& presence) {
  visit("incarnation", presence.m_incarnation);
}

/// Keys in the store.
std::string HeadKey(const PartitionId& partition);
std::string JournalKey(const PartitionId& partition, std::size_t slot);
std::string SnapshotKey(const PartitionId& partition, Epoch epoch,
                        SequenceNumber through, std::uint32_t chunk);
std::string PresenceKey(const NodeId& node);

}  // namespace daisyarch
