#include "decisions/ownership/partition_assignment.h"

#include <algorithm>
#include <tuple>

#include "base/stable_hash.h"

namespace daisyarch {

namespace {

struct Preference {
  std::uint64_t m_score;
  PartitionId m_partition;
  NodeId m_node;
};

bool IsPreferred(const Preference& left, const Preference& right) {
  return std::tie(right.m_score, left.m_partition, left.m_node) <
         std::tie(left.m_score, right.m_partition, right.m_node);
}

std::vector<Preference> RankPreferences(
    const std::vector<PartitionId>& partitions,
    const std::vector<NodeId>& nodes) {
  std::vector<Preference> preferences;
  preferences.reserve(partitions.size() * nodes.size());
  for (const PartitionId& partition : partitions) {
    const std::uint64_t partition_hash = StableHash(partition.value());
    for (const NodeId& node : nodes) {
      const std::uint64_t score =
          CombineHashes(partition_hash, StableHash(node.value()));
      preferences.push_back(Preference{score, partition, node});
    }
  }
  std::sort(preferences.begin(), preferences.end(), IsPreferred);
  return preferences;
}

}  // namespace

// Rendezvous hashing with bounded loads: pairs of partition and node are
// considered by descending score, and a node with its fair share gets no more.
// With so few partitions per node, plain rendezvous hashing gives one node
// twice the mean load.
std::map<PartitionId, NodeId> AssignPartitions(
    const std::vector<PartitionId>& partitions,
    const std::vector<NodeId>& nodes) {
  std::map<PartitionId, NodeId> owners;
  if (nodes.empty()) return owners;
  const std::size_t floor = partitions.size() / nodes.size();
  std::size_t left_over = partitions.size() % nodes.size();
  std::map<NodeId, std::size_t> loads;
  for (const Preference& preference : RankPreferences(partitions, nodes)) {
    if (owners.count(preference.m_partition) != 0) continue;
    std::size_t& load = loads[preference.m_node];
    if (load > floor) continue;
    if (load == floor) {
      if (left_over == 0) continue;
      --left_over;
    }
    ++load;
    owners.emplace(preference.m_partition, preference.m_node);
  }
  return owners;
}

PartitionId HomePartition(const std::vector<PartitionId>& partitions,
                          JobId job) {
  const std::uint64_t scaled = CombineHashes(job.value(), 0);
  return partitions[scaled % partitions.size()];
}

}  // namespace daisyarch
