#include "fleet/withdrawals.h"

#include <algorithm>
#include <iterator>
#include <set>
#include <string>
#include <utility>

#include "fleet/fleet_runtime.h"
#include "fleet/store_keys.h"

namespace daisyarch::fleet {

namespace {

// A request may still be repeated after the retention period.
constexpr Duration kRetentionSlack = std::chrono::seconds(30);
constexpr Duration kWriteInterval = std::chrono::milliseconds(100);
// Two expectations and a put each.
constexpr std::size_t kWithdrawalsPerWrite = kMaximumTransactionEntries / 3;

TimePoint Now(const FleetRuntime& runtime) { return runtime.m_clock.m_now(); }

void WriteNext(FleetRuntime& runtime);

// Returns whether a write that begins by the deadline can take one more.
bool HasRoom(const FleetRuntime& runtime, TimePoint deadline) {
  const Withdrawals& withdrawals = runtime.m_withdrawals;
  const TimePoint first = std::max(Now(runtime), withdrawals.m_next_at);
  const auto writes_before = static_cast<Duration::rep>(
      withdrawals.m_waiting.size() / kWithdrawalsPerWrite);
  return first + writes_before * kWriteInterval < deadline;
}

void ScheduleWrite(FleetRuntime& runtime) {
  Withdrawals& withdrawals = runtime.m_withdrawals;
  const bool is_idle =
      withdrawals.m_waiting.empty() || !withdrawals.m_writing.empty();
  if (is_idle || withdrawals.m_is_timer_set) return;
  withdrawals.m_is_timer_set = true;
  const Duration delay =
      std::max(Duration{}, withdrawals.m_next_at - Now(runtime));
  runtime.m_clock.m_run_after(delay, [&runtime] {
    runtime.m_withdrawals.m_is_timer_set = false;
    WriteNext(runtime);
  });
}

// Without an answer the write may still take effect, so it is repeated until
// its outcome is known.
void HandleError(FleetRuntime& runtime, std::vector<PendingWithdrawal> written,
                 const Error& error) {
  const bool is_unknown = error.m_code == ErrorCode::kOutcomeUnknown;
  const TimePoint next = runtime.m_withdrawals.m_next_at;
  for (PendingWithdrawal& pending : written) {
    pending.m_may_be_applied = pending.m_may_be_applied || is_unknown;
    if (!pending.m_may_be_applied) {
      pending.m_on_answer(Withdrawal::kNotStored);
    } else if (next >= pending.m_deadline) {
      pending.m_on_answer(Withdrawal::kUnknown);
    } else {
      runtime.m_withdrawals.m_waiting.push_back(std::move(pending));
    }
  }
}

bool Holds(const std::vector<StoredItem>& items, const std::string& key) {
  return std::any_of(
      items.begin(), items.end(),
      [&key](const StoredItem& item) { return item.m_key == key; });
}

// The transaction is applied as a whole or not at all, so those without a job
// are written again.
void HandleRejection(FleetRuntime& runtime,
                     std::vector<PendingWithdrawal> written,
                     const std::vector<StoredItem>& items) {
  for (PendingWithdrawal& pending : written) {
    const bool has_job = Holds(items, JobItemKey(pending.m_key)) ||
                         Holds(items, ProgressItemKey(pending.m_key));
    if (has_job) {
      pending.m_on_answer(Withdrawal::kJobFound);
    } else if (Now(runtime) >= pending.m_deadline) {
      pending.m_on_answer(pending.m_may_be_applied ? Withdrawal::kUnknown
                                                   : Withdrawal::kNotStored);
    } else {
      runtime.m_withdrawals.m_waiting.push_back(std::move(pending));
    }
  }
}

void HandleResult(FleetRuntime& runtime,
                  const Result<TransactionResult>& result) {
  auto written = std::exchange(runtime.m_withdrawals.m_writing, {});
  if (!result) {
    HandleError(runtime, std::move(written), result.assume_error());
  } else if (!result.assume_value().m_is_applied) {
    HandleRejection(runtime, std::move(written),
                    result.assume_value().m_current_items);
  } else {
    for (const PendingWithdrawal& pending : written) {
      pending.m_on_answer(Withdrawal::kStored);
    }
  }
  ScheduleWrite(runtime);
}

StoreTransaction TransactionOf(const FleetRuntime& runtime,
                               const std::vector<PendingWithdrawal>& written) {
  const std::string now = std::to_string(runtime.m_clock.m_unix_ms());
  StoreTransaction transaction;
  std::set<JobKey> keys;
  for (const PendingWithdrawal& pending : written) {
    if (!keys.insert(pending.m_key).second) continue;
    transaction.m_expectations.push_back(
        {JobItemKey(pending.m_key), StoreRevision()});
    transaction.m_expectations.push_back(
        {ProgressItemKey(pending.m_key), StoreRevision()});
    transaction.m_puts.push_back(
        {WithdrawnItemKey(pending.m_key), now, StoreLeaseId()});
  }
  return transaction;
}

void WriteNext(FleetRuntime& runtime) {
  Withdrawals& withdrawals = runtime.m_withdrawals;
  auto& waiting = withdrawals.m_waiting;
  if (waiting.empty() || !withdrawals.m_writing.empty()) return;
  const auto end = waiting.begin() + static_cast<std::ptrdiff_t>(std::min(
                                         waiting.size(), kWithdrawalsPerWrite));
  withdrawals.m_writing.assign(std::make_move_iterator(waiting.begin()),
                               std::make_move_iterator(end));
  waiting.erase(waiting.begin(), end);
  withdrawals.m_next_at = Now(runtime) + kWriteInterval;
  runtime.m_store.m_commit(TransactionOf(runtime, withdrawals.m_writing),
                           [&runtime](const Result<TransactionResult>& result) {
                             HandleResult(runtime, result);
                           });
}

}  // namespace

Duration WithdrawalRetention(const SiteSettings& settings) {
  return settings.m_state_retention + kRetentionSlack;
}

void WithdrawJob(FleetRuntime& runtime, const JobKey& key, TimePoint deadline,
                 WithdrawalCallback on_answer) {
  if (!HasRoom(runtime, deadline)) {
    return on_answer(Withdrawal::kNotStored);
  }
  runtime.m_withdrawals.m_waiting.push_back(
      {key, deadline, false, std::move(on_answer)});
  ScheduleWrite(runtime);
}

}  // namespace daisyarch::fleet
