#pragma once

#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "decisions/fleet/relay_messages.h"

// This node as a relay for a leader on another node.

namespace daisyarch::fleet {

struct FleetNode;

/// Answers one call of a leader; called exactly once, or never if the leader
/// has opened another session.
using RelayResponder = std::function<void(Result<std::string>)>;

/// The orders that a relay carries for one leader since it was last greeted.
struct RelaySession {
  RelaySessionNumber m_number;
  std::vector<RelayedOutcome> m_outcomes;  ///< Not yet told.
  RelayResponder m_respond;  ///< Of the call that waits for outcomes, if any.
  TimePoint m_answer_by{};   ///< When that call is answered at the latest.
  TimePoint m_called_at{};
  bool m_is_gathering = false;        ///< A timer for the next answer is set.
  bool m_has_dropped_orders = false;  ///< Since the last answer.
};

struct OrderRelay {
  std::map<Term, std::shared_ptr<RelaySession>> m_sessions;
  Term m_latest_term;  ///< Orders of earlier leaders are rejected.
  TimePoint m_next_registration_at{};
  bool m_is_registering = false;
};

/// Carries out the orders of a call from the leader at `peer`, and answers the
/// call once there are outcomes.
void HandleRelayCall(FleetNode& node, const std::string& call,
                     const std::string& peer, RelayResponder respond);

/// Answers calls that have waited long enough, and registers this node as a
/// relay.
void TickOrderRelay(FleetNode& node);

}  // namespace daisyarch::fleet
