#pragma once

#include <map>
#include <optional>

#include "base/random.h"
#include "base/time.h"
#include "decisions/routing/endpoint.h"
#include "decisions/routing/slot_ledger.h"

namespace daisyarch {

/// The endpoints that a node knows, with what it learnt of each.
using EndpointTable = std::map<EndpointId, Endpoint>;

/// A latency learnt longer ago than this is tried anew with one request.
constexpr Duration kMaximumLatencyAge = std::chrono::seconds(5);

/// The endpoint to send the next request to: one with a free slot, by recent
/// latency; nothing when there is none.
std::optional<EndpointId> ChooseEndpoint(const EndpointTable& endpoints,
                                         const SlotLedger& ledger,
                                         Random& random, TimePoint now);

/// Slots of endpoints that take requests: free, and in all.
struct SlotSupply {
  Slots m_free;
  Slots m_entitled;
};
SlotSupply CountSlots(const EndpointTable& endpoints, const SlotLedger& ledger);

/// Learns the latency of an answered request.
void RecordEndpointLatency(Endpoint& endpoint, Duration latency, TimePoint now);

}  // namespace daisyarch
