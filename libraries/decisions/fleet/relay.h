#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "base/ids.h"
#include "base/quantity.h"
#include "base/time.h"

// A relay is a node that carries the leader's orders to workers, and their
// outcomes back, in batches. It decides nothing: an order that a relay carries
// is fenced and leased like one that the leader sends itself.

namespace daisyarch::fleet {

/// A reading of a relay's own clock, in microseconds. The clock advances while
/// the machine is suspended.
using RelayMicroseconds = Quantity<struct RelayMicrosecondsTag>;

/// A node that can be a relay.
struct RelayNode {
  NodeId m_node;
  std::string m_address;
  Millicores m_processors;
};

/// How workers are divided among the leader and the relays.
struct RelayLimits {
  /// Workers per core that a leader serves without relays.
  std::int64_t m_direct_workers_per_core = 600;
  /// Workers per core that a relay serves.
  std::int64_t m_relayed_workers_per_core = 500;
  /// Nodes with less processor time are no relays.
  Millicores m_minimum_processors{100};
};

/// A relay does not send an order that is older.
constexpr Duration kMaximumRelayedOrderAge = std::chrono::milliseconds(1000);

/// What is known of the difference between a relay's clock and this node's.
struct RelayClockOffset {
  RelayMicroseconds m_present;  ///< The highest of the present period.
  RelayMicroseconds m_highest;  ///< Of the present period and the one before.
  TimePoint m_period_began_at{};
  bool m_is_known = false;
};

/// Records that the relay's clock had shown `clock` when its answer came.
void AddClockReading(RelayClockOffset& offset, RelayMicroseconds clock,
                     TimePoint now);

/// Returns a reading that the relay's clock has passed at `at`.
RelayMicroseconds RelayClockAt(const RelayClockOffset& offset, TimePoint at);

/// Returns whether a start may go through a relay that is placed from a listing
/// of this age; `maximum_listing_age` binds when it leaves for the worker.
bool MayRelayStart(Duration maximum_listing_age, Duration listing_age);

/// Returns whether the relays can serve all workers.
bool CanServe(const RelayLimits& limits, const std::vector<RelayNode>& relays,
              std::size_t worker_count);

/// Returns the relays that the leader uses, the largest first; none if it can
/// serve all workers itself. `leader_processors` is the leader's own processor
/// time.
std::vector<RelayNode> ChooseRelays(const RelayLimits& limits,
                                    std::vector<RelayNode> candidates,
                                    Millicores leader_processors,
                                    std::size_t worker_count);

/// Returns the index of the relay that serves the worker; `relays` must not be
/// empty. When a relay is added or removed, only workers that it gains or
/// serves change theirs.
std::size_t RelayOf(const std::vector<RelayNode>& relays,
                    const WorkerId& worker);

/// Returns whether an order that was sent when the relay's clock showed at
/// least `sent_at` may still be carried out at `now`.
bool IsRecentOrder(RelayMicroseconds sent_at, RelayMicroseconds now);

}  // namespace daisyarch::fleet
