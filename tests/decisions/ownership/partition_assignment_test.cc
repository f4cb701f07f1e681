#include "decisions/ownership/partition_assignment.h"

#include <catch2/catch.hpp>

namespace daisyarch {

namespace {

std::vector<PartitionId> MakePartitions(std::size_t count) {
  std::vector<PartitionId> partitions;
  for (std::size_t index = 0; index < count; ++index) {
    partitions.emplace_back("p" + std::to_string(index));
  }
  return partitions;
}

std::vector<NodeId> MakeNodes(std::size_t count) {
  std::vector<NodeId> nodes;
  for (std::size_t index = 0; index < count; ++index) {
    nodes.emplace_back("n" + std::to_string(index));
  }
  return nodes;
}

}  // namespace

TEST_CASE("Partitions spread evenly and few move when a node joins") {
  const auto partitions = MakePartitions(64);
  for (std::size_t count = 1; count <= 12; ++count) {
    const auto owners = AssignPartitions(partitions, MakeNodes(count));
    std::map<NodeId, std::size_t> loads;
    for (const auto& [partition, node] : owners) ++loads[node];
    REQUIRE(owners.size() == partitions.size());
    for (const auto& [node, load] : loads) {
      CHECK(load >= partitions.size() / count);
      CHECK(load <= partitions.size() / count + 1);
    }
    const auto grown = AssignPartitions(partitions, MakeNodes(count + 1));
    std::size_t moved = 0;
    for (const auto& [partition, node] : owners) {
      if (grown.at(partition) != node) ++moved;
    }
    // The new node's share, and at most as many moves among the others.
    CHECK(moved <= 2 * (partitions.size() / (count + 1) + 1));
  }
}

}  // namespace daisyarch
