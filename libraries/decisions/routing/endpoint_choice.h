#pragma once

#include <map>
#include <optional>

#include "base/random.h"
#include "base/time.h"
#include "decisions/routing/endpoint.h"
#include "decisions/routing/slot_ledger.h"

namespace daisyarch {

/// All endpoints known to a node.
using EndpointTable = std::map<EndpointId, Endpoint>;

/// A latency measured longer ago than this is stale; one request at a time
/// then measures the endpoint again.
constexpr Duration kMaximumLatencyAge = std::chrono::seconds(5);

/// Returns the endpoint for the next request: a random one of those that have a
/// free slot and about the lowest expected latency. Returns nothing when no
/// endpoint accepts a request.
std::optional<EndpointId> ChooseEndpoint(const EndpointTable& endpoints,
                                         const SlotLedger& ledger,
                                         Random& random, TimePoint now);

/// The slots that this node may use at endpoints in service.
struct SlotSupply {
  Slots m_free;      ///< Usable by a request now.
  Slots m_entitled;  ///< Usable in total, whether free or in use.
};

/// Sums the slots over all healthy and probing endpoints.
SlotSupply CountSlots(const EndpointTable& endpoints, const SlotLedger& ledger);

/// Updates the endpoint's latency estimate with an answered request.
void RecordEndpointLatency(Endpoint& endpoint, Duration latency, TimePoint now);

}  // namespace daisyarch
