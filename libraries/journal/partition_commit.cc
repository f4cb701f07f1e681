#include "journal/partition_commit.h"

#include <utility>

#include "journal/partition_snapshot.h"
#include "wire/placement_fields.h"

namespace daisyarch {

namespace {

/// Term of the lease with which removed snapshot chunks expire.
constexpr Duration kRemovalLeaseTerm = std::chrono::seconds(10);

using Partition = std::shared_ptr<OwnedPartition>;

void SendWrite(const Platform& platform, const Partition& partition,
               const CommitObserver& observer, const JournalWrite& write);

void DelayRetry(const Partition& partition, const CommitObserver& observer) {
  partition->m_retry_at = observer.m_now() + kStoreRetryInterval;
}

void OnCommitted(const Platform& platform, const Partition& partition,
                 const CommitObserver& observer) {
  PartitionEngine& engine = partition->m_claimed.m_engine;
  const bool is_captured =
      !partition->m_snapshot_chunks.empty() &&
      partition->m_snapshot_sequence == engine.m_journal.m_in_flight.m_sequence;
  if (is_captured) partition->m_is_snapshot_ready = true;
  observer.m_on_committed(FinishCommit(engine));
  if (!partition->m_is_dropped) AdvanceCommits(platform, partition, observer);
}

void OnReadBack(const Platform& platform, const Partition& partition,
                const CommitObserver& observer, const StoreEntry& entry) {
  JournalWriter& journal = partition->m_claimed.m_engine.m_journal;
  JournalReadBack found;
  found.m_version = entry.m_version;
  if (entry.m_version != StoreVersion()) {
    auto batch = DecodeCbor<JournalBatch>(entry.m_value, "read journal", "");
    if (batch) found.m_batch = std::move(batch).assume_value();
  }
  switch (FinishReadBack(journal, found)) {
    case WriteOutcome::kCommitted:
      return OnCommitted(platform, partition, observer);
    case WriteOutcome::kRetry:
      return SendWrite(platform, partition, observer, RepeatWrite(journal));
    case WriteOutcome::kFenced:
      return observer.m_on_fenced();
  }
}

void ReadBack(const Platform& platform, const Partition& partition,
              const CommitObserver& observer) {
  PartitionEngine& engine = partition->m_claimed.m_engine;
  BeginReadBack(engine.m_journal);
  const std::size_t slot = SlotOf(engine.m_journal.m_in_flight.m_sequence);
  // Prevents AdvanceCommits from sending another read while this one is in
  // flight.
  partition->m_retry_at = TimePoint::max();
  platform.m_read(JournalKey(engine.m_partition, slot),
                  [&platform, partition, observer](Result<StoreEntry> result) {
                    if (partition->m_is_dropped) return;
                    DelayRetry(partition, observer);
                    if (!result) return;
                    partition->m_retry_at = TimePoint();
                    OnReadBack(platform, partition, observer,
                               result.assume_value());
                  });
}

void OnWritten(const Platform& platform, const Partition& partition,
               const CommitObserver& observer,
               const Result<SwapResult>& result) {
  if (partition->m_is_dropped) return;
  JournalWriter& journal = partition->m_claimed.m_engine.m_journal;
  if (result && result.assume_value().m_is_swapped) {
    FinishWrite(journal, result.assume_value().m_entry.m_version);
    return OnCommitted(platform, partition, observer);
  }
  if (result) return ReadBack(platform, partition, observer);
  // Reading back is also correct when the write certainly had no effect: the
  // read finds the old version, and the write is repeated.
  BeginReadBack(journal);
  DelayRetry(partition, observer);
}

void SendWrite(const Platform& platform, const Partition& partition,
               const CommitObserver& observer, const JournalWrite& write) {
  const PartitionId& id = partition->m_claimed.m_engine.m_partition;
  platform.m_compare_and_swap(
      JournalKey(id, write.m_slot), write.m_expected,
      WriteCbor(Encode(write.m_batch)), StoreLeaseId(),
      [&platform, partition, observer](const Result<SwapResult>& result) {
        OnWritten(platform, partition, observer, result);
      });
}

// Only at this moment does the state contain exactly the records up to the
// batch that is about to be written.
void CaptureSnapshot(const Partition& partition) {
  PartitionEngine& engine = partition->m_claimed.m_engine;
  if (partition->m_is_snapshot_writing || partition->m_is_snapshot_ready) {
    return;
  }
  if (!IsSnapshotDue(engine.m_journal)) return;
  partition->m_snapshot_chunks = EncodeSnapshot(engine.m_state);
  partition->m_snapshot_sequence = engine.m_journal.m_in_flight.m_sequence;
}

void DiscardSnapshot(const Partition& partition) {
  partition->m_snapshot_chunks.clear();
  partition->m_is_snapshot_ready = false;
  partition->m_is_snapshot_writing = false;
}

// The store has no delete operation, so each key is bound to a short lease and
// expires with it.
void RemoveChunks(const Platform& platform, const PartitionId& partition,
                  const PartitionHead& head, StoreLeaseId lease) {
  for (std::uint32_t chunk = 0; chunk < head.m_snapshot_chunks; ++chunk) {
    const std::string key = SnapshotKey(partition, head.m_snapshot_epoch,
                                        head.m_snapshot_through, chunk);
    platform.m_read(key, [&platform, key, lease](Result<StoreEntry> result) {
      if (!result) return;
      platform.m_compare_and_swap(key, result.assume_value().m_version, "",
                                  lease, [](const auto&) {});
    });
  }
}

// FIXME: Chunks stay in the store when one of these operations fails. A later
// snapshot should remove them.
void RemoveSnapshot(const Platform& platform, const PartitionId& partition,
                    const PartitionHead& head) {
  if (head.m_snapshot_chunks == 0) return;
  platform.m_grant_lease(
      kRemovalLeaseTerm,
      [&platform, partition, head](const Result<StoreLeaseId>& lease) {
        if (!lease) return;
        RemoveChunks(platform, partition, head, lease.assume_value());
      });
}

void WriteHead(const Platform& platform, const Partition& partition,
               const CommitObserver& observer) {
  ClaimedPartition& claimed = partition->m_claimed;
  const PartitionHead old_head = claimed.m_head;
  PartitionHead head = old_head;
  head.m_snapshot_through = partition->m_snapshot_sequence;
  head.m_snapshot_epoch = head.m_epoch;
  head.m_snapshot_chunks =
      static_cast<std::uint32_t>(partition->m_snapshot_chunks.size());
  platform.m_compare_and_swap(
      HeadKey(claimed.m_engine.m_partition), claimed.m_head_version,
      WriteCbor(Encode(head)), StoreLeaseId(),
      [&platform, partition, observer, old_head,
       head](const Result<SwapResult>& result) {
        if (partition->m_is_dropped) return;
        ClaimedPartition& owned = partition->m_claimed;
        const bool is_written = result && result.assume_value().m_is_swapped;
        if (!is_written) {
          DiscardSnapshot(partition);
          // The head may have been written although the answer was lost, so it
          // is read before the next snapshot.
          platform.m_read(
              HeadKey(owned.m_engine.m_partition),
              [partition](Result<StoreEntry> read) {
                if (!read || partition->m_is_dropped) return;
                auto found = DecodeCbor<PartitionHead>(
                    read.assume_value().m_value, "read head", "");
                if (!found) return;
                ClaimedPartition& current = partition->m_claimed;
                if (found.assume_value().m_epoch != current.m_head.m_epoch) {
                  return;
                }
                current.m_head = found.assume_value();
                current.m_head_version = read.assume_value().m_version;
                FinishSnapshot(current.m_engine.m_journal,
                               current.m_head.m_snapshot_through);
              });
          return;
        }
        owned.m_head = head;
        owned.m_head_version = result.assume_value().m_entry.m_version;
        FinishSnapshot(owned.m_engine.m_journal, head.m_snapshot_through);
        DiscardSnapshot(partition);
        RemoveSnapshot(platform, owned.m_engine.m_partition, old_head);
        AdvanceCommits(platform, partition, observer);
      });
}

void WriteChunk(const Platform& platform, const Partition& partition,
                const CommitObserver& observer, std::uint32_t chunk) {
  if (chunk == partition->m_snapshot_chunks.size()) {
    return WriteHead(platform, partition, observer);
  }
  const ClaimedPartition& claimed = partition->m_claimed;
  const std::string key =
      SnapshotKey(claimed.m_engine.m_partition, claimed.m_head.m_epoch,
                  partition->m_snapshot_sequence, chunk);
  platform.m_compare_and_swap(
      key, StoreVersion(), partition->m_snapshot_chunks[chunk], StoreLeaseId(),
      [&platform, partition, observer,
       chunk](const Result<SwapResult>& result) {
        if (partition->m_is_dropped) return;
        // No other node writes this key, so a conflict means that an earlier
        // write whose answer was lost has taken effect.
        if (result) {
          return WriteChunk(platform, partition, observer, chunk + 1);
        }
        DiscardSnapshot(partition);
      });
}

void AdvanceSnapshot(const Platform& platform, const Partition& partition,
                     const CommitObserver& observer) {
  if (!partition->m_is_snapshot_ready || partition->m_is_snapshot_writing) {
    return;
  }
  partition->m_is_snapshot_writing = true;
  WriteChunk(platform, partition, observer, 0);
}

}  // namespace

void AdvanceCommits(const Platform& platform,
                    const std::shared_ptr<OwnedPartition>& partition,
                    const CommitObserver& observer) {
  if (partition->m_is_dropped) return;
  const TimePoint now = observer.m_now();
  AdvanceSnapshot(platform, partition, observer);
  if (now < partition->m_retry_at) return;
  PartitionEngine& engine = partition->m_claimed.m_engine;
  if (engine.m_journal.m_phase == JournalPhase::kReadingBack) {
    return ReadBack(platform, partition, observer);
  }
  const std::optional<JournalWrite> write = StartCommit(engine, now);
  if (!write) return;
  CaptureSnapshot(partition);
  SendWrite(platform, partition, observer, *write);
}

bool IsFlushed(const OwnedPartition& partition) {
  const JournalWriter& journal = partition.m_claimed.m_engine.m_journal;
  return journal.m_queue.empty() && journal.m_phase == JournalPhase::kIdle;
}

void ReleasePartition(const Platform& platform, const PartitionId& partition,
                      const NodeId& node, Incarnation incarnation,
                      std::function<void(bool is_released)> on_done) {
  platform.m_read(HeadKey(partition), [&platform, partition, node, incarnation,
                                       on_done = std::move(on_done)](
                                          const Result<StoreEntry>& result) {
    if (!result) return on_done(false);
    const StoreEntry& entry = result.assume_value();
    PartitionHead head;
    if (entry.m_version != StoreVersion()) {
      auto decoded = DecodeCbor<PartitionHead>(entry.m_value, "read head",
                                               partition.value());
      if (!decoded) return on_done(false);
      head = std::move(decoded).assume_value();
    }
    const bool is_own =
        head.m_owner == node && head.m_incarnation == incarnation;
    // The head of another owner is written back unchanged. This raises its
    // version, so a claim of this node whose answer was lost can no longer take
    // effect.
    if (is_own) head.m_is_released = true;
    platform.m_compare_and_swap(
        HeadKey(partition), entry.m_version, WriteCbor(Encode(head)),
        StoreLeaseId(), [on_done](const Result<SwapResult>& swap) {
          on_done(swap && swap.assume_value().m_is_swapped);
        });
  });
}

}  // namespace daisyarch
