#pragma once

#include <functional>
#include <memory>
#include <string>
#include <vector>

#include "decisions/fleet/job_routes.h"
#include "fleet/fleet_runtime.h"
#include "fleet/leader.h"
#include "fleet/prefix_watch.h"

namespace daisyarch::fleet {

/// One node: what it knows of the configuration, its part in leading, and
/// whether it takes callers.
struct FleetNode {
  FleetRuntime m_runtime;

  JobRoutes m_routes;
  bool m_has_routes = false;
  PrefixWatchPointer m_configuration_watch;
  TimePoint m_configuration_confirmed_at{};  ///< When it was last the newest.
  bool m_is_confirming = false;
  bool m_could_confirm = true;  ///< The last time; a loss is logged once.
  std::vector<std::function<void()>> m_waiting_for_confirmation;

  LeadershipState m_leadership = LeadershipState::kFollowing;
  PrefixWatchPointer m_lead_watch;
  bool m_is_held = true;  ///< Someone holds the claim; true until seen.
  Term m_last_term;
  StoreRevision m_term_revision;
  TimePoint m_vacant_since{};
  TimePoint m_may_claim_at{};
  NodeId m_last_leader;        ///< Of the last term.
  TimePoint m_term_seen_at{};  ///< When the last term was first seen.
  Term m_ended_term;  ///< The last one whose leader is known to be gone.
  TimePoint m_ended_seen_at{};
  Term m_settled_term;  ///< The last one without runs of earlier leaders.
  bool m_has_reported_end = false;
  Handover m_handover;  ///< As last seen.
  bool m_is_writing_handover = false;
  Claim m_claim;
  LeaderPointer m_leader;
  bool m_is_losing_claim = false;
  TimePoint m_claim_valid_until{};
  TimePoint m_next_renewal_at{};
  bool m_is_renewing = false;

  bool m_is_stopping = false;
  TimePoint m_stop_requested_at{};
};

/// Begins to follow the store.
void StartFleetNode(FleetNode& node);

/// Calls `then` once the configuration was the newest a moment ago, or the
/// store cannot tell.
void ConfirmConfiguration(FleetNode& node, std::function<void()> then);

/// Everything that depends on time; every few milliseconds.
void TickFleetNode(FleetNode& node);

/// Hands the lead over and is ready no more.
void StopFleetNode(FleetNode& node);

/// True while the balancer should send callers here.
bool IsReady(const FleetNode& node);

/// True when the store has not answered for so long that a write would most
/// likely wait in vain.
bool IsStoreUnreachable(const FleetNode& node);

/// True when nothing is left to hand over.
bool HasHandedOver(const FleetNode& node);

}  // namespace daisyarch::fleet
