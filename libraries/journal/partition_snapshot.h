#pragma once

#include <string>
#include <vector>

#include "base/result.h"
#include "decisions/placement/partition_state.h"

namespace daisyarch {

/// The durable part of a partition's state.
struct PartitionSnapshot {
  std::vector<Job> m_jobs;
  std::vector<Task> m_tasks;
};

/// The chunk size, below the store's limit of 1 MB per value.
constexpr std::size_t kSnapshotChunkBytes = 900 * 1000;

/// Encodes the state as chunks of bytes for the store.
std::vector<std::string> EncodeSnapshot(const PartitionState& state);

/// Decodes the state; empty when there are no chunks. kInvalidArgument when the
/// chunks are damaged.
Result<PartitionState> DecodeSnapshot(const std::vector<std::string>& chunks,
                                      const std::string& peer);

}  // namespace daisyarch
