#include <algorithm>
#include <cstddef>
#include <cstdlib>
#include <utility>

#include "fleet/leader.h"
#include "fleet/store_keys.h"
#include "log/log.h"

namespace daisyarch::fleet {

namespace {

constexpr Duration kListInterval = std::chrono::seconds(30);
constexpr Duration kListTimeout = std::chrono::seconds(3);
// A removal takes as many as three writes of withdrawals, so that it keeps up
// with the nodes at a third of their writes.
constexpr Duration kRemovalInterval = std::chrono::milliseconds(10);
constexpr std::size_t kRemovalsPerWrite = 30;

TimePoint Now(const Leader& leader) { return leader.m_runtime.m_clock.m_now(); }

void RemoveNext(const LeaderPointer& leader);

void ApplyList(Leader& leader, const StoreListing& listing) {
  const std::int64_t oldest =
      leader.m_runtime.m_clock.m_unix_ms() -
      ToMilliseconds(WithdrawalRetention(leader.m_runtime.m_settings));
  for (const StoredItem& item : listing.m_items) {
    const std::int64_t stored_at =
        std::strtoll(item.m_value.c_str(), nullptr, 10);
    if (stored_at <= oldest) {
      leader.m_withdrawal_remover.m_old.push_back(item.m_key);
    }
  }
}

void List(const LeaderPointer& leader) {
  leader->m_withdrawal_remover.m_is_calling = true;
  const std::weak_ptr<Leader> weak = leader;
  leader->m_runtime.m_store.m_list(
      kWithdrawnPrefix, kListTimeout, [weak](Result<StoreListing> result) {
        const LeaderPointer self = weak.lock();
        if (!self) return;
        WithdrawalRemover& remover = self->m_withdrawal_remover;
        remover.m_is_calling = false;
        remover.m_next_at = Now(*self) + kListInterval;
        if (!result) {
          return LogError("withdrawals_not_listed", result.assume_error());
        }
        ApplyList(*self, result.assume_value());
        if (!remover.m_old.empty()) RemoveNext(self);
      });
}

// Those that are still stored are found with the next list.
void FinishRemoval(const LeaderPointer& leader) {
  WithdrawalRemover& remover = leader->m_withdrawal_remover;
  remover.m_is_calling = false;
  if (remover.m_old.empty()) {
    remover.m_next_at = Now(*leader) + kListInterval;
    return;
  }
  remover.m_is_calling = true;
  const std::weak_ptr<Leader> weak = leader;
  leader->m_runtime.m_clock.m_run_after(kRemovalInterval, [weak] {
    const LeaderPointer self = weak.lock();
    if (self) RemoveNext(self);
  });
}

void RemoveNext(const LeaderPointer& leader) {
  WithdrawalRemover& remover = leader->m_withdrawal_remover;
  const std::size_t count = std::min(remover.m_old.size(), kRemovalsPerWrite);
  const auto first = remover.m_old.end() - static_cast<std::ptrdiff_t>(count);
  StoreTransaction transaction;
  transaction.m_expectations.push_back(ClaimExpectation(*leader));
  transaction.m_removals.assign(first, remover.m_old.end());
  remover.m_old.erase(first, remover.m_old.end());
  remover.m_is_calling = true;
  const std::weak_ptr<Leader> weak = leader;
  leader->m_runtime.m_store.m_commit(transaction,
                                     [weak](const Result<TransactionResult>&) {
                                       const LeaderPointer self = weak.lock();
                                       if (self) FinishRemoval(self);
                                     });
}

}  // namespace

void RemoveOldWithdrawals(const LeaderPointer& leader) {
  WithdrawalRemover& remover = leader->m_withdrawal_remover;
  const TimePoint now = Now(*leader);
  const bool is_due =
      now >= remover.m_next_at && now >= leader->m_loaded_at + kListInterval;
  if (remover.m_is_calling || !is_due) return;
  List(leader);
}

}  // namespace daisyarch::fleet
