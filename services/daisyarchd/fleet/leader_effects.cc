#include "decisions/fleet/learned_effects.h"
#include "fleet/leader.h"
#include "fleet/store_keys.h"
#include "log/log.h"
#include "wire/fleet_fields.h"

namespace daisyarch::fleet {

namespace {

constexpr Duration kEffectsInterval = std::chrono::seconds(2);

void ApplyStoredEffects(Leader& leader, const StoredItem& item) {
  auto learned =
      DecodeCbor<LearnedEffects>(item.m_value, "read effects", item.m_key);
  if (!learned) return LogError("effects_unreadable", learned.assume_error());
  ApplyLearnedEffects(leader.m_fleet.m_interference, learned.assume_value());
  LogEvent(LogLevel::kInfo, "effects_loaded",
           {{"term", leader.m_claim.m_term.value()},
            {"pairs", std::uint64_t{learned.assume_value().m_pairs.size()}}});
  leader.m_fleet.m_needs_placement = true;
}

}  // namespace

void LoadEffects(const LeaderPointer& leader) {
  LoadRunTimes(leader);
  const std::weak_ptr<Leader> weak = leader;
  // A value that is some seconds old serves as well, and is cheaper.
  leader->m_runtime.m_store.m_read(
      kEffectsKey, ReadFreshness::kPossiblyStale,
      [weak](Result<std::optional<StoredItem>> result) {
        const LeaderPointer self = weak.lock();
        if (!self) return;
        if (!result) {
          return LogError("effects_not_loaded", result.assume_error());
        }
        if (result.assume_value()) {
          ApplyStoredEffects(*self, *result.assume_value());
        }
      });
}

void WriteEffects(const LeaderPointer& leader) {
  WriteRunTimes(leader);
  const TimePoint now = leader->m_runtime.m_clock.m_now();
  if (leader->m_is_writing_effects || now < leader->m_next_effects_at) return;
  leader->m_next_effects_at = now + kEffectsInterval;
  const std::uint64_t samples = leader->m_fleet.m_interference.m_sample_count;
  if (samples == leader->m_stored_sample_count) return;
  // A write that takes effect late leaves older estimates, which still serve.
  StoreTransaction transaction;
  transaction.m_expectations.push_back(ClaimExpectation(*leader));
  transaction.m_puts.push_back(
      {kEffectsKey,
       WriteCbor(Encode(LearnedEffectsOf(leader->m_fleet.m_interference))),
       StoreLeaseId()});
  leader->m_is_writing_effects = true;
  const std::weak_ptr<Leader> weak = leader;
  leader->m_runtime.m_store.m_commit(
      transaction, [weak, samples](const Result<TransactionResult>& result) {
        const LeaderPointer self = weak.lock();
        if (!self) return;
        self->m_is_writing_effects = false;
        if (result && result.assume_value().m_is_applied) {
          self->m_stored_sample_count = samples;
        }
      });
}

}  // namespace daisyarch::fleet
