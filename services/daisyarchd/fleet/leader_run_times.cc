#include <cmath>

#include "decisions/fleet/learned_run_times.h"
#include "decisions/fleet/run_times.h"
#include "fleet/leader.h"
#include "fleet/store_keys.h"
#include "log/log.h"
#include "wire/fleet_fields.h"

namespace daisyarch::fleet {

namespace {

// Each write is a call to the store, and what has changed within this time is
// learned again as fast.
constexpr Duration kRunTimesInterval = std::chrono::seconds(10);
// From then on a worker is counted as slow.
constexpr double kSlow = 1.5;
constexpr double kPercent = 100;

void ApplyStoredRunTimes(Leader& leader, const StoredItem& item) {
  auto learned =
      DecodeCbor<LearnedRunTimes>(item.m_value, "read run times", item.m_key);
  if (!learned) return LogError("run_times_unreadable", learned.assume_error());
  RunTimesWriter& writer = leader.m_run_times_writer;
  writer.m_stored = std::move(learned.assume_value());
  ApplyLearnedRunTimes(leader.m_fleet.m_run_times, writer.m_stored);
  LogEvent(LogLevel::kInfo, "run_times_loaded",
           {{"term", leader.m_claim.m_term.value()},
            {"queues", std::uint64_t{writer.m_stored.m_run_times.size()}},
            {"workers", std::uint64_t{writer.m_stored.m_workers.size()}}});
}

// Returns the steps that most was learned of lately; nullptr if there are none.
const StoredRunTime* MostLearned(const LearnedRunTimes& learned) {
  const StoredRunTime* most = nullptr;
  for (const StoredRunTime& entry : learned.m_run_times) {
    if (most == nullptr ||
        entry.m_learned.m_weight > most->m_learned.m_weight) {
      most = &entry;
    }
  }
  return most;
}

std::uint64_t CountSlowWorkers(const RunTimeModel& model) {
  std::uint64_t slow = 0;
  for (const auto& entry : model.m_workers.m_rows) {
    if (SlownessOf(model, entry.first) >= kSlow) ++slow;
  }
  return slow;
}

}  // namespace

void LoadRunTimes(const LeaderPointer& leader) {
  const std::weak_ptr<Leader> weak = leader;
  // A value that is some seconds old serves as well, and is cheaper.
  leader->m_runtime.m_store.m_read(
      kRunTimesKey, ReadFreshness::kPossiblyStale,
      [weak](Result<std::optional<StoredItem>> result) {
        const LeaderPointer self = weak.lock();
        if (!self) return;
        if (!result) {
          return LogError("run_times_not_loaded", result.assume_error());
        }
        if (result.assume_value()) {
          ApplyStoredRunTimes(*self, *result.assume_value());
        }
      });
}

void WriteRunTimes(const LeaderPointer& leader) {
  const TimePoint now = leader->m_runtime.m_clock.m_now();
  RunTimesWriter& writer = leader->m_run_times_writer;
  if (writer.m_is_writing || now < writer.m_next_at) return;
  writer.m_next_at = now + kRunTimesInterval;
  LearnedRunTimes learned = LearnedRunTimesOf(leader->m_fleet.m_run_times);
  if (!HasChangedEnough(writer.m_stored, learned)) return;
  // A write that takes effect late leaves older figures, which still serve.
  StoreTransaction transaction;
  transaction.m_expectations.push_back(ClaimExpectation(*leader));
  transaction.m_puts.push_back(
      {kRunTimesKey, WriteCbor(Encode(learned)), StoreLeaseId()});
  writer.m_is_writing = true;
  const std::weak_ptr<Leader> weak = leader;
  leader->m_runtime.m_store.m_commit(
      transaction, [weak, learned = std::move(learned)](
                       const Result<TransactionResult>& result) {
        const LeaderPointer self = weak.lock();
        if (!self) return;
        self->m_run_times_writer.m_is_writing = false;
        if (result && result.assume_value().m_is_applied) {
          self->m_run_times_writer.m_stored = learned;
        }
      });
}

void LogRunTimes(const Leader& leader) {
  const RunTimeModel& model = leader.m_fleet.m_run_times;
  const LearnedRunTimes learned = LearnedRunTimesOf(model);
  const std::uint64_t slow = CountSlowWorkers(model);
  Metrics& metrics = *leader.m_runtime.m_metrics;
  metrics.SetGauge("daisyarch_learned_run_times",
                   static_cast<double>(model.m_run_times.m_rows.size()));
  metrics.SetGauge("daisyarch_slow_workers", static_cast<double>(slow));
  const StoredRunTime* most = MostLearned(learned);
  if (most == nullptr) return;
  const LearnedRunTime& entry = most->m_learned;
  const double factor = std::exp(entry.m_level) * entry.m_mean_ratio;
  LogEvent(
      LogLevel::kInfo, "run_times",
      {{"term", leader.m_claim.m_term.value()},
       {"entries", std::uint64_t{model.m_run_times.m_rows.size()}},
       {"runs", model.m_ended_runs},
       {"long_runs", model.m_active_runs},
       {"slow_workers", slow},
       {"queue", most->m_key.m_queue.value()},
       {"image", most->m_key.m_image.value()},
       {"steps", static_cast<std::uint64_t>(entry.m_weight)},
       {"of_estimate_percent", static_cast<std::int64_t>(factor * kPercent)},
       {"slope_percent",
        static_cast<std::int64_t>((1 + entry.m_slope) * kPercent)},
       {"spread_percent", static_cast<std::int64_t>(
                              std::sqrt(entry.m_run_variance) * kPercent)}});
}

}  // namespace daisyarch::fleet
