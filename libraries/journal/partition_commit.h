#pragma once

#include <functional>
#include <memory>
#include <vector>

#include "base/time.h"
#include "decisions/placement/partition_engine.h"
#include "journal/partition_claim.h"
#include "platform/platform.h"

namespace daisyarch {

/// An owned partition with the store's side of it. Answers of the store that
/// arrive after the partition was dropped find `m_is_dropped` set.
struct OwnedPartition {
  ClaimedPartition m_claimed;
  std::vector<std::string> m_snapshot_chunks;  ///< Taken, not yet written.
  SequenceNumber m_snapshot_sequence;
  bool m_is_snapshot_ready = false;  ///< The batch in it has committed.
  bool m_is_snapshot_writing = false;
  bool m_is_dropped = false;
  TimePoint m_retry_at{};  ///< No call on the store before this.
};

/// What the owner wants to hear of.
struct CommitObserver {
  std::function<void(const std::vector<DeferredReply>& replies)> m_on_committed;
  std::function<void()> m_on_fenced;
  std::function<TimePoint()> m_now;
};

/// A call on the store that failed is tried again after this long.
constexpr Duration kStoreRetryInterval = std::chrono::milliseconds(200);

/// Starts what is due on the store: the next group commit, a read-back or a
/// snapshot. To be called after each event and at intervals.
void AdvanceCommits(const Platform& platform,
                    const std::shared_ptr<OwnedPartition>& partition,
                    const CommitObserver& observer);

/// True when nothing waits for the store.
bool IsFlushed(const OwnedPartition& partition);

/// Marks the partition as free for another owner, if the store names this
/// run as its owner. Answers true when the store certainly does not and will
/// not name it any more; until then nobody else can claim the partition.
void ReleasePartition(const Platform& platform, const PartitionId& partition,
                      const NodeId& node, Incarnation incarnation,
                      std::function<void(bool is_released)> on_done);

}  // namespace daisyarch
