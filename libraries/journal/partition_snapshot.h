#pragma once

#include <string>
#include <vector>

#include "base/result.h"
#include "decisions/placement/partition_state.h"

namespace daisyarch {

/// What has to last of a partition's state.
struct PartitionSnapshot {
  std::vector<Job> m_jobs;
  std::vector<Task> m_tasks;
};

/// A chunk stays below the store's limit of 1 MB a value.
constexpr std::size_t kSnapshotChunkBytes = 900 * 1000;

/// The state as chunks of bytes for the store.
std::vector<std::string> EncodeSnapshot(const PartitionState& state);

/// Rebuilds the state; kInvalidArgument when the chunks are damaged.
Result<PartitionState> DecodeSnapshot(const std::vector<std::string>& chunks,
                                      const std::string& peer);

}  // namespace daisyarch
