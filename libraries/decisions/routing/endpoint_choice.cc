#include "decisions/routing/endpoint_choice.h"

#include <algorithm>

namespace daisyarch {

namespace {

/// Latencies within this factor of each other count as equal, so that load
/// spreads over endpoints of similar speed.
constexpr double kEqualLatencyFactor = 1.25;

bool AcceptsRequests(const Endpoint& endpoint, const SlotAccount& account) {
  if (FreeSlots(account) <= Slots()) return false;
  if (endpoint.m_state == EndpointState::kHealthy) return true;
  return endpoint.m_state == EndpointState::kProbing &&
         account.m_in_use == Slots();
}

// Returns the expected latency of a request, in microseconds. An idle endpoint
// without a recent measurement counts as the fastest, so that one request at a
// time measures it.
double ExpectedLatency(const Endpoint& endpoint, const SlotAccount& account,
                       TimePoint now) {
  const bool is_stale =
      now - endpoint.m_latency_updated_at > kMaximumLatencyAge;
  const bool is_unknown = !endpoint.m_latency.m_is_known;
  if ((is_stale || is_unknown) && account.m_in_use == Slots()) return 0;
  return endpoint.m_latency.m_mean;
}

}  // namespace

// Scans all endpoints instead of comparing two random candidates: the result is
// exact, and the scan is cheap compared with the request itself (see
// docs/MEASUREMENTS.md).
std::optional<EndpointId> ChooseEndpoint(const EndpointTable& endpoints,
                                         const SlotLedger& ledger,
                                         Random& random, TimePoint now) {
  const EndpointId* best = nullptr;
  double best_latency = 0;
  std::uint64_t equal_count = 0;
  for (const auto& [id, endpoint] : endpoints) {
    const auto account = ledger.m_accounts.find(id);
    if (account == ledger.m_accounts.end()) continue;
    if (!AcceptsRequests(endpoint, account->second)) continue;
    const double latency = ExpectedLatency(endpoint, account->second, now);
    if (best == nullptr || latency * kEqualLatencyFactor < best_latency) {
      best = &id;
      best_latency = latency;
      equal_count = 1;
      continue;
    }
    if (latency > best_latency * kEqualLatencyFactor) continue;
    ++equal_count;
    best_latency = std::min(best_latency, latency);
    // Reservoir sampling: each of the equal candidates is equally likely to be
    // chosen.
    if (NextBelow(random, equal_count) == 0) best = &id;
  }
  if (best == nullptr) return std::nullopt;
  return *best;
}

SlotSupply CountSlots(const EndpointTable& endpoints,
                      const SlotLedger& ledger) {
  SlotSupply supply;
  for (const auto& [id, endpoint] : endpoints) {
    if (endpoint.m_state != EndpointState::kHealthy &&
        endpoint.m_state != EndpointState::kProbing) {
      continue;
    }
    const auto account = ledger.m_accounts.find(id);
    if (account == ledger.m_accounts.end()) continue;
    supply.m_entitled += std::max(EntitledSlots(account->second), Slots());
    if (!AcceptsRequests(endpoint, account->second)) continue;
    supply.m_free += FreeSlots(account->second);
  }
  return supply;
}

void RecordEndpointLatency(Endpoint& endpoint, Duration latency,
                           TimePoint now) {
  AddSample(endpoint.m_latency, latency);
  endpoint.m_latency_updated_at = now;
}

}  // namespace daisyarch
