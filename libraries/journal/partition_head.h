#pragma once

#include <cstdint>
#include <string>

#include "base/ids.h"
#include "wire/field_codec.h"

namespace daisyarch {

/// Who owns a partition, and where its snapshot stands.
struct PartitionHead {
  Epoch m_epoch;
  NodeId m_owner;
  Incarnation m_incarnation;
  bool m_is_released = true;  ///< The owner gave the partition up.
  SequenceNumber m_snapshot_through;
  Epoch m_snapshot_epoch;  ///< Of the owner that wrote the snapshot.
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

/// What a node keeps in the store for as long as its lease lasts.
struct NodePresence {
  Incarnation m_incarnation;
};

template <typename Visitor>
void VisitFields(Visitor& visit, NodePresence& presence) {
  visit("incarnation", presence.m_incarnation);
}

/// The keys of the store.
std::string HeadKey(const PartitionId& partition);
std::string JournalKey(const PartitionId& partition, std::size_t slot);
std::string SnapshotKey(const PartitionId& partition, Epoch epoch,
                        SequenceNumber through, std::uint32_t chunk);
std::string PresenceKey(const NodeId& node);

}  // namespace daisyarch
