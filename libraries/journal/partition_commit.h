#pragma once

#include <functional>
#include <memory>
#include <vector>

#include "base/time.h"
#include "decisions/placement/partition_engine.h"
#include "journal/partition_claim.h"
#include "platform/platform.h"

namespace daisyarch {

/// An owned partition and the progress of its commits and snapshots. Answers of
/// the store that arrive after the partition was dropped are ignored, because
/// `m_is_dropped` is set.
struct OwnedPartition {
  ClaimedPartition m_claimed;
  std::vector<std::string> m_snapshot_chunks;  ///< Captured, not yet stored.
  SequenceNumber m_snapshot_sequence;  ///< The last batch in the snapshot.
  bool m_is_snapshot_ready = false;    ///< That batch has committed.
  bool m_is_snapshot_writing = false;
  bool m_is_dropped = false;
  TimePoint m_retry_at{};  ///< No journal write or read-back before this time.
};

/// Callbacks of the owner, and its clock.
struct CommitObserver {
  std::function<void(const std::vector<DeferredReply>& replies)> m_on_committed;
  std::function<void()> m_on_fenced;
  std::function<TimePoint()> m_now;
};

/// Delay before a failed store operation is retried.
constexpr Duration kStoreRetryInterval = std::chrono::milliseconds(200);

/// Starts the store operations that are due: the next group commit, a read-back
/// or a snapshot. Must be called after each event and periodically.
void AdvanceCommits(const Platform& platform,
                    const std::shared_ptr<OwnedPartition>& partition,
                    const CommitObserver& observer);

/// Returns true when no record is queued or being written.
bool IsFlushed(const OwnedPartition& partition);

/// Marks the partition as released if the head names this incarnation of the
/// node as its owner. Answers true when the head certainly does not name it as
/// the owner and no earlier claim of it can still take effect. Until then, no
/// other node can claim the partition while this node's lease is valid.
void ReleasePartition(const Platform& platform, const PartitionId& partition,
                      const NodeId& node, Incarnation incarnation,
                      std::function<void(bool is_released)> on_done);

}  // namespace daisyarch
