#pragma once

#include <map>
#include <memory>
#include <string>
#include <vector>

#include "decisions/fleet/relay_messages.h"
#include "fleet/prefix_watch.h"

// The leader's side of its relays: which relay carries the orders of which
// worker, and the orders whose outcomes are awaited.

namespace daisyarch::fleet {

struct Leader;

/// An order that a relay carries, without its payload.
struct OpenOrder {
  Order m_order;
  TimePoint m_deadline{};  ///< When its outcome is taken as unknown.
};

/// The link to one relay.
struct RelayLink {
  RelayNode m_relay;
  RelayLinkState m_state = RelayLinkState::kIdle;
  RelaySessionNumber m_session;       ///< 0: none is open.
  std::vector<RelayedOrder> m_queue;  ///< For the next call.
  std::map<OrderNumber, OpenOrder> m_open;
  std::size_t m_calls_in_flight = 0;
  RelayClockOffset m_clock;  ///< As told in this session.
  TimePoint m_retry_at{};
};

struct RelayLinks {
  PrefixWatchPointer m_watch;  ///< Of the registered nodes.
  std::map<NodeId, RelayNode> m_nodes;
  std::map<NodeId, RelayLink> m_links;
  /// Those that serve the workers; see RelayOf(). While they are too few, this
  /// node stands among them for the workers that it serves itself.
  std::vector<RelayNode> m_serving;
  /// Workers that a relay got no answer from, and until when the leader sends
  /// them its orders itself.
  std::map<WorkerId, TimePoint> m_direct_until;
  RelaySessionNumber m_last_session;
  OrderNumber m_last_order;
  TimePoint m_next_deadline_check_at{};
};

/// Starts to watch the registered relays.
void StartRelays(const std::shared_ptr<Leader>& leader);

/// Chooses relays, opens and closes links, and gives up orders that a relay has
/// told no outcome of in time.
void TickRelays(const std::shared_ptr<Leader>& leader);

/// Adds the order to its relay's next call. Returns false, and does nothing, if
/// the leader has to send it itself.
bool GiveToRelay(Leader& leader, const std::string& address,
                 const Order& order);

/// Sends the relays the orders that were given to them.
void CallRelays(const std::shared_ptr<Leader>& leader);

}  // namespace daisyarch::fleet
