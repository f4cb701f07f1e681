#include "journal/partition_head.h"

namespace daisyarch {

namespace {

std::string Prefix(const PartitionId& partition) {
  return "partition/" + partition.value() + "/";
}

}  // namespace

std::string HeadKey(const PartitionId& partition) {
  return Prefix(partition) + "head";
}

std::string JournalKey(const PartitionId& partition, std::size_t slot) {
  return Prefix(partition) + "journal/" + std::to_string(slot);
}

std::string SnapshotKey(const PartitionId& partition, Epoch epoch,
                        SequenceNumber through, std::uint32_t chunk) {
  return Prefix(partition) + "snapshot/" + std::to_string(epoch.value()) + "-" +
         std::to_string(through.value()) + "/" + std::to_string(chunk);
}

std::string PresenceKey(const NodeId& node) { return "node/" + node.value(); }

}  // namespace daisyarch
