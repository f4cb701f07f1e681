#include <algorithm>

#include "fleet/leader.h"
#include "fleet/store_keys.h"
#include "log/log.h"
#include "wire/roster_entry_text.h"

namespace daisyarch::fleet {

namespace {

constexpr Duration kWriteRetryDelay = std::chrono::milliseconds(100);
// Each takes two of the 32 entries of a transaction.
constexpr std::size_t kMaximumWorkersPerWrite = 15;

// The last applied and the last stored end tell whether the books hold
// everything that the worker has reported.
void LogRosterRemoval(Leader& leader, const WorkerId& id) {
  const Worker* worker = FindWorker(leader.m_fleet, id);
  LogEvent(
      LogLevel::kInfo, "roster_removal",
      {{"worker", id.value()},
       {"is_leaving",
        std::int64_t{worker != nullptr && worker->m_listing.m_is_leaving}},
       {"applied_end", worker == nullptr ? 0 : worker->m_applied_end.value()},
       {"stored_end", worker == nullptr ? 0 : worker->m_stored_end.value()},
       {"term", leader.m_claim.m_term.value()}});
}

// Logs only the first of several failures in a row.
void LogRosterWrite(Leader& leader, std::size_t stored, std::size_t removed,
                    const Result<TransactionResult>& result) {
  const bool had_failed = leader.m_has_roster_write_failed;
  leader.m_has_roster_write_failed = !result;
  if (!result && had_failed) return;
  if (!result) return LogError("roster_not_written", result.assume_error());
  const TransactionResult& outcome = result.assume_value();
  LogEvent(LogLevel::kInfo, "roster_written",
           {{"stored", std::uint64_t{stored}},
            {"removed", std::uint64_t{removed}},
            {"is_applied", std::int64_t{outcome.m_is_applied}},
            {"store_revision", outcome.m_revision.value()},
            {"term", leader.m_claim.m_term.value()}});
}

StoreExpectation RosterExpectation(const Leader& leader, const WorkerId& id) {
  const auto found = leader.m_roster_item_revisions.find(id);
  return {RosterItemKey(id), found == leader.m_roster_item_revisions.end()
                                 ? StoreRevision()
                                 : found->second};
}

// Each write expects the items that it replaces or removes, so that a write
// which the store applies late cannot undo a newer one.
StoreTransaction RosterTransaction(const Leader& leader,
                                   const std::vector<RosterEntry>& missing,
                                   const std::vector<WorkerId>& obsolete) {
  StoreTransaction transaction;
  transaction.m_expectations.push_back(ClaimExpectation(leader));
  for (const RosterEntry& entry : missing) {
    transaction.m_expectations.push_back(
        RosterExpectation(leader, entry.m_worker));
    transaction.m_puts.push_back({RosterItemKey(entry.m_worker),
                                  EncodeRosterEntry(entry), StoreLeaseId()});
  }
  for (const WorkerId& id : obsolete) {
    transaction.m_expectations.push_back(RosterExpectation(leader, id));
    transaction.m_removals.push_back(RosterItemKey(id));
  }
  return transaction;
}

// Takes over the revisions that a rejected write found. An item that it
// expected and that is absent has none.
void UpdateRosterRevisions(Leader& leader, const StoreTransaction& transaction,
                           const TransactionResult& result) {
  for (const StoreExpectation& expectation : transaction.m_expectations) {
    if (expectation.m_key == kClaimKey) continue;
    leader.m_roster_item_revisions.erase(
        WorkerId(expectation.m_key.substr(kRosterPrefix.size())));
  }
  for (const StoredItem& item : result.m_current_items) {
    if (item.m_key == kClaimKey) continue;
    leader.m_roster_item_revisions[WorkerId(
        item.m_key.substr(kRosterPrefix.size()))] = item.m_revision;
  }
}

void ApplyRosterWritten(Leader& leader, const std::vector<RosterEntry>& missing,
                        const std::vector<WorkerId>& obsolete,
                        StoreRevision revision) {
  for (const RosterEntry& entry : missing) {
    leader.m_roster_item_revisions[entry.m_worker] = revision;
  }
  for (const WorkerId& id : obsolete) leader.m_roster_item_revisions.erase(id);
  ApplyRosterStored(leader.m_fleet, missing);
  ApplyRosterRemoved(leader.m_fleet, obsolete);
}

}  // namespace

void WriteRoster(const LeaderPointer& leader) {
  const TimePoint now = leader->m_runtime.m_clock.m_now();
  if (leader->m_is_writing_roster || now < leader->m_next_roster_at) return;
  auto missing = MissingFromRoster(leader->m_fleet);
  auto obsolete = ObsoleteInRoster(leader->m_fleet);
  if (missing.empty() && obsolete.empty()) return;
  missing.resize(std::min(missing.size(), kMaximumWorkersPerWrite));
  obsolete.resize(
      std::min(obsolete.size(), kMaximumWorkersPerWrite - missing.size()));
  for (const WorkerId& id : obsolete) {
    if (!leader->m_has_roster_write_failed) LogRosterRemoval(*leader, id);
  }
  BeginRosterRemoval(leader->m_fleet, obsolete);
  const StoreTransaction transaction =
      RosterTransaction(*leader, missing, obsolete);
  leader->m_is_writing_roster = true;
  const std::weak_ptr<Leader> weak = leader;
  leader->m_runtime.m_store.m_commit(
      transaction, [weak, missing, obsolete,
                    transaction](const Result<TransactionResult>& result) {
        const LeaderPointer self = weak.lock();
        if (!self) return;
        self->m_is_writing_roster = false;
        self->m_next_roster_at =
            self->m_runtime.m_clock.m_now() + kWriteRetryDelay;
        LogRosterWrite(*self, missing.size(), obsolete.size(), result);
        if (!result) return;
        const TransactionResult& outcome = result.assume_value();
        if (!outcome.m_is_applied) {
          return UpdateRosterRevisions(*self, transaction, outcome);
        }
        self->m_next_roster_at = TimePoint();
        ApplyRosterWritten(*self, missing, obsolete, outcome.m_revision);
        RequestSchedulingPass(self);
      });
}

}  // namespace daisyarch::fleet
