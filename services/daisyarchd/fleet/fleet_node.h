#pragma once

#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "decisions/fleet/job_routes.h"
#include "fleet/fleet_runtime.h"
#include "fleet/leader.h"
#include "fleet/order_relay.h"
#include "fleet/prefix_watch.h"

namespace daisyarch::fleet {

/// One node: the configuration in force, its role in the leadership
/// election, and whether it accepts requests.
struct FleetNode {
  FleetRuntime m_runtime;

  JobRoutes m_routes;
  bool m_has_routes = false;
  TimePoint m_routes_known_at{};  ///< When the first were applied.
  PrefixWatchPointer m_configuration_watch;
  /// When the latest successful read of the newest configuration was sent.
  TimePoint m_configuration_confirmed_at{};
  bool m_is_confirming = false;
  /// Only the first of several failures in a row is logged.
  bool m_last_confirmation_succeeded = true;
  std::vector<std::function<void()>> m_confirmation_callbacks;

  LeadershipState m_leadership = LeadershipState::kFollowing;
  PrefixWatchPointer m_leadership_watch;
  /// Whether any node holds the leadership claim; assumed until the first
  /// listing.
  bool m_is_claim_held = true;
  Term m_last_term;  ///< The newest term in the store.
  StoreRevision m_term_revision;
  TimePoint m_vacant_since{};  ///< When the claim was seen to be free.
  TimePoint m_next_claim_at{};
  NodeId m_last_leader;        ///< Leader of the last term.
  TimePoint m_term_seen_at{};  ///< When the last term was first seen.
  /// The same for the terms before it, except for old ones.
  std::map<Term, TimePoint> m_terms_seen_at;
  Term m_ended_term;  ///< Last term whose leader process is known to be gone.
  TimePoint m_ended_seen_at{};  ///< When this node learned of it.
  Term m_drained_term;          ///< Last drained term; see kDrainedTermKey.
  bool m_has_checked_earlier_process = false;
  /// The term in which this process has led and leads no more, until that is
  /// stored or no longer matters; 0: none.
  Term m_given_up_term;
  bool m_is_reporting_end = false;
  TimePoint m_next_end_report_at{};
  Handover m_handover;  ///< The newest one in the store.
  bool m_is_writing_handover = false;
  LeadershipClaim m_claim;
  LeaderPointer m_leader;
  bool m_is_claim_loss_pending = false;
  /// From then on another node may have claimed leadership.
  TimePoint m_claim_valid_until{};
  TimePoint m_next_renewal_at{};
  bool m_is_renewing = false;

  OrderRelay m_order_relay;

  bool m_is_stopping = false;
  TimePoint m_stop_requested_at{};
};

/// Starts to watch the store.
void StartFleetNode(FleetNode& node);

/// Calls `then` once the configuration has been read from the store within the
/// last 300 ms, or once that read has failed.
void ConfirmConfiguration(FleetNode& node, std::function<void()> then);

/// Runs everything that depends on time. The caller repeats it every few
/// tens of milliseconds.
void TickFleetNode(FleetNode& node);

/// Starts to hand leadership over, if this node holds it. IsReady() is false
/// from now on.
void StopFleetNode(FleetNode& node);

/// True while the load balancer should send requests to this node.
bool IsReady(const FleetNode& node);

/// True when the store has not answered for 2 s, so that a write would most
/// likely time out.
bool IsStoreUnreachable(const FleetNode& node);

/// True once the node has stopped taking part in leadership; any leadership
/// that it held is handed over or lost.
bool HasHandedOver(const FleetNode& node);

}  // namespace daisyarch::fleet
