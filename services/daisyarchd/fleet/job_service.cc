#include "fleet/job_service.h"

#include <algorithm>
#include <memory>
#include <utility>

#include "fleet/store_keys.h"
#include "fleet/withdrawals.h"
#include "log/log.h"
#include "wire/fleet_fields.h"

namespace daisyarch::fleet {

namespace {

constexpr Duration kListTimeout = std::chrono::milliseconds(1500);
constexpr Duration kWriteRetryDelay = std::chrono::milliseconds(100);
constexpr int kMaximumCancelAttempts = 4;

/// A conditional write that is repeated until its outcome is known.
struct RepeatedWrite {
  FleetRuntime& m_runtime;
  StoreTransaction m_transaction;
  JobKey m_key;
  TimePoint m_deadline{};
  bool m_may_be_applied = false;
  /// Receives the last answer of the store; kOutcomeUnknown at the deadline.
  StoreCallback<TransactionResult> m_on_answer;
};

void SendWrite(const std::shared_ptr<RepeatedWrite>& write);

// An earlier attempt without an answer may still take effect. Only an answer
// that states whether the write's conditions held shows the outcome.
void HandleWriteResult(const std::shared_ptr<RepeatedWrite>& write,
                       Result<TransactionResult> result) {
  if (result) return write->m_on_answer(std::move(result));
  const Error& error = result.assume_error();
  if (error.m_code == ErrorCode::kOutcomeUnknown) {
    write->m_may_be_applied = true;
  }
  if (!write->m_may_be_applied) return write->m_on_answer(std::move(result));
  const TimePoint next = write->m_runtime.m_clock.m_now() + kWriteRetryDelay;
  if (next >= write->m_deadline) {
    return write->m_on_answer(Error{ErrorCode::kOutcomeUnknown, "store job",
                                    error.m_peer, error.m_detail});
  }
  write->m_runtime.m_clock.m_run_after(kWriteRetryDelay,
                                       [write] { SendWrite(write); });
}

void SendWrite(const std::shared_ptr<RepeatedWrite>& write) {
  write->m_runtime.m_store.m_commit(
      write->m_transaction, [write](Result<TransactionResult> result) {
        HandleWriteResult(write, std::move(result));
      });
}

Acceptance AcceptanceOf(const Error& error) {
  return error.m_code == ErrorCode::kOutcomeUnknown ? Acceptance::kUnknown
                                                    : Acceptance::kNotRun;
}

using ItemCallback = StoreCallback<std::optional<StoredItem>>;

void ReadProgress(FleetRuntime& runtime, const JobKey& key,
                  ItemCallback on_answer) {
  runtime.m_store.m_read(ProgressItemKey(key), ReadFreshness::kCurrent,
                         std::move(on_answer));
}

Result<std::optional<JobState>> DecodeState(const StoredItem& item) {
  TRY_ASSIGN(const JobProgress progress,
             DecodeCbor<JobProgress>(item.m_value, "read state", item.m_key));
  return std::optional<JobState>(progress.m_state);
}

void ReadStateFromProgress(FleetRuntime& runtime, const JobKey& key,
                           JobStateCallback on_answer) {
  ReadProgress(runtime, key,
               [on_answer = std::move(on_answer)](
                   Result<std::optional<StoredItem>> result) {
                 if (!result)
                   return on_answer(std::move(result).assume_error());
                 const auto& item = result.assume_value();
                 if (!item) return on_answer(std::optional<JobState>());
                 on_answer(DecodeState(*item));
               });
}

// One transaction removes a job item and stores the outcome as progress, which
// is kept longer. So if the job item is missing, the job may have ended since
// its progress was first read, and a second read finds the outcome.
void ReadStateFromJob(FleetRuntime& runtime, const JobKey& key,
                      JobStateCallback on_answer) {
  runtime.m_store.m_read(
      JobItemKey(key), ReadFreshness::kCurrent,
      [&runtime, key, on_answer = std::move(on_answer)](
          Result<std::optional<StoredItem>> result) mutable {
        if (!result) return on_answer(std::move(result).assume_error());
        if (result.assume_value()) {
          return on_answer(std::optional<JobState>(JobState::kQueued));
        }
        ReadStateFromProgress(runtime, key, std::move(on_answer));
      });
}

struct Cancellation {
  FleetRuntime& m_runtime;
  JobKey m_key;
  TimePoint m_deadline{};
  AcceptanceCallback m_on_answer;
  int m_attempts = 0;
};

void TryCancel(const std::shared_ptr<Cancellation>& cancellation);

void WriteCancel(const std::shared_ptr<Cancellation>& cancellation,
                 StoreRevision job_revision) {
  const JobKey& key = cancellation->m_key;
  StoreTransaction transaction;
  transaction.m_expectations = {{JobItemKey(key), job_revision},
                                {CancelItemKey(key), StoreRevision()}};
  transaction.m_puts = {{CancelItemKey(key), "1", StoreLeaseId()}};
  auto write = std::make_shared<RepeatedWrite>(RepeatedWrite{
      cancellation->m_runtime, std::move(transaction), key,
      cancellation->m_deadline, false,
      [cancellation](Result<TransactionResult> result) {
        if (!result) {
          return cancellation->m_on_answer(AcceptanceOf(result.assume_error()));
        }
        if (result.assume_value().m_is_applied) {
          return cancellation->m_on_answer(Acceptance::kStored);
        }
        TryCancel(cancellation);
      }});
  SendWrite(write);
}

// The submission may be on its way: a node repeats it without an answer, and
// the store may carry it out late.
void CancelMissingJob(const std::shared_ptr<Cancellation>& cancellation) {
  WithdrawJob(cancellation->m_runtime, cancellation->m_key,
              cancellation->m_deadline, [cancellation](Withdrawal outcome) {
                switch (outcome) {
                  case Withdrawal::kStored:
                    return cancellation->m_on_answer(Acceptance::kNoSuchJob);
                  case Withdrawal::kJobFound:
                    return TryCancel(cancellation);
                  case Withdrawal::kNotStored:
                    return cancellation->m_on_answer(Acceptance::kNotRun);
                  case Withdrawal::kUnknown:
                    return cancellation->m_on_answer(Acceptance::kUnknown);
                }
              });
}

// Without a job item, the job has ended, or is not stored yet.
void CancelEndedJob(const std::shared_ptr<Cancellation>& cancellation) {
  ReadStateFromProgress(
      cancellation->m_runtime, cancellation->m_key,
      [cancellation](Result<std::optional<JobState>> state) {
        if (!state) {
          return cancellation->m_on_answer(AcceptanceOf(state.assume_error()));
        }
        if (!state.assume_value()) return CancelMissingJob(cancellation);
        cancellation->m_on_answer(Acceptance::kStored);
      });
}

void TryCancel(const std::shared_ptr<Cancellation>& cancellation) {
  if (++cancellation->m_attempts > kMaximumCancelAttempts) {
    return cancellation->m_on_answer(Acceptance::kUnknown);
  }
  cancellation->m_runtime.m_store.m_list(
      JobItemKey(cancellation->m_key), kListTimeout,
      [cancellation](Result<StoreListing> result) {
        if (!result) {
          return cancellation->m_on_answer(AcceptanceOf(result.assume_error()));
        }
        std::optional<StoreRevision> job;
        for (const StoredItem& item : result.assume_value().m_items) {
          if (item.m_key == CancelItemKey(cancellation->m_key)) {
            return cancellation->m_on_answer(Acceptance::kStored);
          }
          if (item.m_key == JobItemKey(cancellation->m_key)) {
            job = item.m_revision;
          }
        }
        if (!job) return CancelEndedJob(cancellation);
        WriteCancel(cancellation, *job);
      });
}

// A failed condition of a submission means that the job is already stored, has
// ended, or was withdrawn before any of its writes took effect.
bool IsWithdrawn(const std::vector<StoredItem>& items, const JobKey& key) {
  return std::all_of(items.begin(), items.end(),
                     [&key](const StoredItem& item) {
                       return item.m_key == WithdrawnItemKey(key);
                     });
}

}  // namespace

void AcceptJob(FleetRuntime& runtime, const JobPlan& plan, TimePoint deadline,
               AcceptanceCallback on_answer) {
  StoreTransaction transaction;
  transaction.m_expectations = {
      {JobItemKey(plan.m_key), StoreRevision()},
      {ProgressItemKey(plan.m_key), StoreRevision()},
      {WithdrawnItemKey(plan.m_key), StoreRevision()}};
  transaction.m_puts = {
      {JobItemKey(plan.m_key), WriteCbor(Encode(plan)), StoreLeaseId()}};
  auto write = std::make_shared<RepeatedWrite>(RepeatedWrite{
      runtime, std::move(transaction), plan.m_key, deadline, false,
      [key = plan.m_key,
       on_answer = std::move(on_answer)](Result<TransactionResult> result) {
        if (!result) return on_answer(AcceptanceOf(result.assume_error()));
        const TransactionResult& outcome = result.assume_value();
        const bool is_withdrawn =
            !outcome.m_is_applied && IsWithdrawn(outcome.m_current_items, key);
        on_answer(is_withdrawn ? Acceptance::kWithdrawn : Acceptance::kStored);
      }});
  SendWrite(write);
}

void CancelStoredJob(FleetRuntime& runtime, const JobKey& key,
                     TimePoint deadline, AcceptanceCallback on_answer) {
  auto cancellation = std::make_shared<Cancellation>(
      Cancellation{runtime, key, deadline, std::move(on_answer), 0});
  TryCancel(cancellation);
}

void ReadJobState(FleetRuntime& runtime, const JobKey& key,
                  JobStateCallback on_answer) {
  ReadProgress(runtime, key,
               [&runtime, key, on_answer = std::move(on_answer)](
                   Result<std::optional<StoredItem>> result) mutable {
                 if (!result)
                   return on_answer(std::move(result).assume_error());
                 const auto& item = result.assume_value();
                 if (item) return on_answer(DecodeState(*item));
                 ReadStateFromJob(runtime, key, std::move(on_answer));
               });
}

void ReadPendingCount(FleetRuntime& runtime, const QueueId& queue,
                      PendingCountCallback on_answer) {
  runtime.m_store.m_read(
      kPendingKey, ReadFreshness::kCurrent,
      [queue, on_answer = std::move(on_answer)](
          Result<std::optional<StoredItem>> result) {
        if (!result) return on_answer(std::move(result).assume_error());
        const auto& item = result.assume_value();
        if (!item) return on_answer(std::uint64_t{0});
        using Counts = std::map<QueueId, std::uint64_t>;
        const auto counts =
            DecodeCbor<Counts>(item->m_value, "read pending", item->m_key);
        if (!counts) return on_answer(counts.assume_error());
        const auto found = counts.assume_value().find(queue);
        on_answer(found == counts.assume_value().end() ? 0 : found->second);
      });
}

}  // namespace daisyarch::fleet
