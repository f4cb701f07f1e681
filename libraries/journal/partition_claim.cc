#include "journal/partition_claim.h"

#include <memory>
#include <utility>

#include "decisions/placement/apply_record.h"
#include "decisions/placement/worker_exchange.h"
#include "journal/partition_snapshot.h"
#include "wire/placement_fields.h"

namespace daisyarch {

namespace {

/// A claim in progress; each step starts the next one.
class Claim : public std::enable_shared_from_this<Claim> {
 public:
  Claim(const Platform& platform, ClaimParameters parameters,
        ClaimCallback on_answer)
      : m_platform(platform),
        m_parameters(std::move(parameters)),
        m_on_answer(std::move(on_answer)) {}

  void ReadHead() {
    m_platform.m_read(HeadKey(m_parameters.m_partition),
                      [self = shared_from_this()](Result<StoreEntry> result) {
                        if (!result)
                          return self->Fail(std::move(result).assume_error());
                        self->OnHead(result.assume_value());
                      });
  }

 private:
  void OnHead(const StoreEntry& entry) {
    m_claimed.m_head_version = entry.m_version;
    if (entry.m_version == StoreVersion()) return RaiseEpoch();
    auto head = DecodeCbor<PartitionHead>(entry.m_value, "read head",
                                          m_parameters.m_partition.value());
    if (!head) return Fail(std::move(head).assume_error());
    m_claimed.m_head = head.assume_value();
    if (m_is_head_write_unconfirmed) return CheckHeadWritten();
    if (m_claimed.m_head.m_is_released || IsOwnIncarnation())
      return RaiseEpoch();
    CheckOwnerPresence();
  }

  bool IsOwnIncarnation() const {
    return m_claimed.m_head.m_owner == m_parameters.m_node &&
           m_claimed.m_head.m_incarnation == m_parameters.m_incarnation;
  }

  // The owner's presence key is removed when its lease expires. A later
  // incarnation of a node does not inherit the partitions of an earlier one.
  void CheckOwnerPresence() {
    m_platform.m_read(PresenceKey(m_claimed.m_head.m_owner),
                      [self = shared_from_this()](Result<StoreEntry> result) {
                        if (!result)
                          return self->Fail(std::move(result).assume_error());
                        self->OnOwnerPresence(result.assume_value());
                      });
  }

  void OnOwnerPresence(const StoreEntry& entry) {
    if (entry.m_version == StoreVersion()) return RaiseEpoch();
    auto presence = DecodeCbor<NodePresence>(entry.m_value, "read presence",
                                             m_claimed.m_head.m_owner.value());
    if (!presence) return Fail(std::move(presence).assume_error());
    if (presence.assume_value().m_incarnation !=
        m_claimed.m_head.m_incarnation) {
      return RaiseEpoch();
    }
    Fail(Error{ErrorCode::kNotOwner, "claim partition",
               m_claimed.m_head.m_owner.value(),
               "the owner's lease is still valid"});
  }

  void RaiseEpoch() {
    PartitionHead& head = m_claimed.m_head;
    head.m_epoch = Next(head.m_epoch);
    head.m_owner = m_parameters.m_node;
    head.m_incarnation = m_parameters.m_incarnation;
    head.m_is_released = false;
    m_written_epoch = head.m_epoch;
    m_platform.m_compare_and_swap(
        HeadKey(m_parameters.m_partition), m_claimed.m_head_version,
        WriteCbor(Encode(head)), StoreLeaseId(),
        [self = shared_from_this()](Result<SwapResult> result) {
          self->OnEpochRaised(std::move(result));
        });
  }

  void OnEpochRaised(Result<SwapResult> result) {
    // After a lost answer or a conflict, the head is read to find out whether
    // this node wrote it.
    if (!result && result.assume_error().m_code != ErrorCode::kOutcomeUnknown) {
      return Fail(std::move(result).assume_error());
    }
    if (!result || !result.assume_value().m_is_swapped) {
      m_is_head_write_unconfirmed = true;
      return ReadHead();
    }
    m_claimed.m_head_version = result.assume_value().m_entry.m_version;
    ReadSnapshot();
  }

  void CheckHeadWritten() {
    if (IsOwnIncarnation() && m_claimed.m_head.m_epoch == m_written_epoch) {
      return ReadSnapshot();
    }
    Fail(Error{ErrorCode::kConflict, "claim partition",
               m_claimed.m_head.m_owner.value(),
               "another node claimed the partition first"});
  }

  void ReadSnapshot() {
    if (m_chunks.size() == m_claimed.m_head.m_snapshot_chunks) {
      return LoadSnapshot();
    }
    const auto chunk = static_cast<std::uint32_t>(m_chunks.size());
    const PartitionHead& head = m_claimed.m_head;
    m_platform.m_read(
        SnapshotKey(m_parameters.m_partition, head.m_snapshot_epoch,
                    head.m_snapshot_through, chunk),
        [self = shared_from_this()](Result<StoreEntry> result) {
          if (!result) return self->Fail(std::move(result).assume_error());
          self->m_chunks.push_back(result.assume_value().m_value);
          self->ReadSnapshot();
        });
  }

  void LoadSnapshot() {
    auto state = DecodeSnapshot(m_chunks, m_parameters.m_partition.value());
    if (!state) return Fail(std::move(state).assume_error());
    PartitionEngine& engine = m_claimed.m_engine;
    engine.m_partition = m_parameters.m_partition;
    engine.m_state = std::move(state).assume_value();
    JournalWriter& journal = engine.m_journal;
    journal.m_node = m_parameters.m_node;
    journal.m_incarnation = m_parameters.m_incarnation;
    journal.m_epoch = m_claimed.m_head.m_epoch;
    journal.m_snapshot_through = m_claimed.m_head.m_snapshot_through;
    journal.m_next_sequence = Next(journal.m_snapshot_through);
    ReadSlots();
  }

  // Each later write of a slot expects its current version, so all slots are
  // read.
  void ReadSlots() {
    m_slot_entries.resize(kJournalRingSize);
    m_slots_missing = kJournalRingSize;
    for (std::size_t slot = 0; slot < kJournalRingSize; ++slot) {
      m_platform.m_read(
          JournalKey(m_parameters.m_partition, slot),
          [self = shared_from_this(), slot](Result<StoreEntry> result) {
            self->OnSlot(slot, std::move(result));
          });
    }
  }

  void OnSlot(std::size_t slot, Result<StoreEntry> result) {
    if (!result) return Fail(std::move(result).assume_error());
    m_slot_entries[slot] = std::move(result).assume_value();
    if (--m_slots_missing == 0) Replay();
  }

  void Replay() {
    JournalWriter& journal = m_claimed.m_engine.m_journal;
    for (std::size_t slot = 0; slot < kJournalRingSize; ++slot) {
      journal.m_slot_versions[slot] = m_slot_entries[slot].m_version;
    }
    while (true) {
      const StoreEntry& entry = m_slot_entries[SlotOf(journal.m_next_sequence)];
      if (entry.m_version == StoreVersion()) break;
      auto batch = DecodeCbor<JournalBatch>(entry.m_value, "read journal",
                                            m_parameters.m_partition.value());
      if (!batch) return Fail(std::move(batch).assume_error());
      if (batch.assume_value().m_sequence != journal.m_next_sequence) break;
      ApplyBatch(batch.assume_value());
    }
    AppendRecord(journal, MakeClaimRecord());
    WriteClaimRecord();
  }

  JournalRecord MakeClaimRecord() const {
    return OwnerClaimed{m_parameters.m_node, m_claimed.m_head.m_epoch};
  }

  void ApplyBatch(const JournalBatch& batch) {
    PartitionEngine& engine = m_claimed.m_engine;
    for (const JournalRecord& record : batch.m_records) {
      ApplyRecord(engine.m_state, m_parameters.m_state_machines->m_task,
                  record);
    }
    engine.m_journal.m_next_sequence = Next(batch.m_sequence);
  }

  void WriteClaimRecord() {
    JournalWriter& journal = m_claimed.m_engine.m_journal;
    journal.m_last_write_start = TimePoint(-kMinimumCommitInterval);
    const auto write = StartWrite(journal, m_parameters.m_now());
    if (!write) {
      return Fail(Error{ErrorCode::kInternal, "claim partition",
                        m_parameters.m_partition.value(),
                        "the journal ring is full"});
    }
    SendClaimRecord(*write);
  }

  void SendClaimRecord(const JournalWrite& write) {
    m_platform.m_compare_and_swap(
        JournalKey(m_parameters.m_partition, write.m_slot), write.m_expected,
        WriteCbor(Encode(write.m_batch)), StoreLeaseId(),
        [self = shared_from_this()](Result<SwapResult> result) {
          self->OnClaimRecordWritten(std::move(result));
        });
  }

  void OnClaimRecordWritten(Result<SwapResult> result) {
    JournalWriter& journal = m_claimed.m_engine.m_journal;
    if (result && result.assume_value().m_is_swapped) {
      FinishWrite(journal, result.assume_value().m_entry.m_version);
      return Succeed();
    }
    if (!result && result.assume_error().m_code != ErrorCode::kOutcomeUnknown) {
      return Fail(std::move(result).assume_error());
    }
    BeginReadBack(journal);
    const std::size_t slot = SlotOf(journal.m_in_flight.m_sequence);
    m_platform.m_read(JournalKey(m_parameters.m_partition, slot),
                      [self = shared_from_this()](Result<StoreEntry> read) {
                        if (!read)
                          return self->Fail(std::move(read).assume_error());
                        self->OnClaimRecordReadBack(read.assume_value());
                      });
  }

  void OnClaimRecordReadBack(const StoreEntry& entry) {
    JournalReadBack found;
    found.m_version = entry.m_version;
    if (entry.m_version != StoreVersion()) {
      auto batch = DecodeCbor<JournalBatch>(entry.m_value, "read journal",
                                            m_parameters.m_partition.value());
      if (!batch) return Fail(std::move(batch).assume_error());
      found.m_batch = std::move(batch).assume_value();
    }
    JournalWriter& journal = m_claimed.m_engine.m_journal;
    switch (FinishReadBack(journal, found)) {
      case WriteOutcome::kCommitted:
        return Succeed();
      case WriteOutcome::kRetry:
        return SendClaimRecord(RepeatWrite(journal));
      case WriteOutcome::kFenced:
        return OnClaimSlotTaken(found);
    }
  }

  // A late write of the previous owner may have taken the slot that the claim
  // record was meant for. It is valid: it is applied, and the claim record is
  // written to the next slot.
  void OnClaimSlotTaken(const JournalReadBack& found) {
    JournalWriter& journal = m_claimed.m_engine.m_journal;
    const bool is_next = found.m_batch &&
                         found.m_batch->m_sequence == journal.m_next_sequence &&
                         found.m_batch->m_epoch < journal.m_epoch;
    if (!is_next) {
      return Fail(Error{ErrorCode::kConflict, "claim partition",
                        m_parameters.m_partition.value(),
                        "a later owner has written to the journal"});
    }
    journal.m_slot_versions[SlotOf(journal.m_next_sequence)] = found.m_version;
    journal.m_phase = JournalPhase::kIdle;
    ApplyBatch(*found.m_batch);
    AppendRecord(journal, MakeClaimRecord());
    WriteClaimRecord();
  }

  void Succeed() {
    ResumeOwnership(m_claimed.m_engine, *m_parameters.m_state_machines,
                    m_parameters.m_now());
    Finish(std::move(m_claimed));
  }

  void Fail(Error error) { Finish(std::move(error)); }

  void Finish(Result<ClaimedPartition> result) {
    // Slots are read concurrently; the first failure ends the claim.
    if (!m_on_answer) return;
    ClaimCallback on_answer = std::move(m_on_answer);
    m_on_answer = nullptr;
    on_answer(std::move(result));
  }

  const Platform& m_platform;
  ClaimParameters m_parameters;
  ClaimCallback m_on_answer;
  ClaimedPartition m_claimed;
  bool m_is_head_write_unconfirmed = false;
  Epoch m_written_epoch;
  std::vector<std::string> m_chunks;
  std::vector<StoreEntry> m_slot_entries;
  std::size_t m_slots_missing = 0;
};

}  // namespace

void ClaimPartition(const Platform& platform, const ClaimParameters& parameters,
                    ClaimCallback on_answer) {
  std::make_shared<Claim>(platform, parameters, std::move(on_answer))
      ->ReadHead();
}

}  // namespace daisyarch
