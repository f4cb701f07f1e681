#pragma once

#include <string>
#include <variant>
#include <vector>

#include "base/error.h"
#include "decisions/fleet/fleet.h"
#include "decisions/fleet/relay.h"
#include "decisions/fleet/start_answer.h"

// What a leader and a relay say to each other.

namespace daisyarch::fleet {

/// The outcome of a start, of a stop or throttle order, or of a poll.
using OrderOutcome =
    std::variant<StartAnswer, Result<void>, Result<WorkerReport>>;

/// An order and the address of its worker.
struct RelayedOrder {
  OrderNumber m_number;
  std::string m_address;
  Order m_order;
};

struct RelayedOutcome {
  OrderNumber m_number;
  OrderOutcome m_outcome = StartAnswer();
};

/// A call of a leader. A relay keeps the outcomes of each session apart.
struct RelayCall {
  Term m_term;
  RelaySessionNumber m_session;
  /// What the relay's clock showed at least when the call was sent; 0: not
  /// known yet, and then there are no orders.
  RelayMicroseconds m_sent_at;
  std::vector<RelayedOrder> m_orders;
};

/// The relay answers a call when there are outcomes, when the next call comes,
/// or after a limited time.
struct RelayAnswer {
  RelayMicroseconds m_clock;
  bool m_is_leaving = false;  ///< The relay is about to stop.
  /// It has dropped orders since the last answer, as they were late.
  bool m_has_dropped_orders = false;
  std::vector<RelayedOutcome> m_outcomes;
};

/// Returns the worker that the order is for.
const WorkerId& WorkerOf(const Order& order);

/// Returns the order with an empty payload, which applying its outcome does not
/// need.
Order WithoutPayload(const Order& order);

/// Returns the outcome of an order that was not carried out and will not be.
OrderOutcome UnsentOutcome(const Order& order, const std::string& detail);

/// Returns the outcome of an order that may be carried out, now or later.
OrderOutcome UnknownOutcome(const Order& order, const std::string& detail);

}  // namespace daisyarch::fleet
