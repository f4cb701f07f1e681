#pragma once

#include <functional>
#include <vector>

#include "decisions/membership/peer_table.h"
#include "runtime.h"

namespace daisyarch {

/// How far a node has come in taking part.
enum class JoinStep { kGrantLease, kWritePresence, kJoinMemberList, kJoined };

/// Keeps the node's lease and its place in the member list, and hears the
/// other nodes.
struct MembershipService {
  Runtime& m_runtime;
  PeerTable m_table;
  JoinStep m_join_step = JoinStep::kGrantLease;
  JoinStep m_last_join_step = JoinStep::kJoined;
  TimePoint m_step_started_at{};
  bool m_is_waiting = false;  ///< A join step is on its way.
  bool m_is_renewal_pending = false;
  bool m_is_leaving = false;
  bool m_is_checking_presence = false;
  StoreLeaseId m_lease;
  TimePoint m_granted_lease_deadline{};
  TimePoint m_next_renewal_at{};
  TimePoint m_next_heartbeat_at{};
  TimePoint m_list_read_at{};
  TimePoint m_next_removal_at{};
  StoreVersion m_list_store_version;

  /// What the daemon adds to each heartbeat.
  std::function<void(Heartbeat&)> m_fill_heartbeat;
  /// A later member list is in force.
  std::function<void()> m_on_members_adopted;
  /// A peer holds a later configuration.
  std::function<void(const Member&)> m_on_later_configuration;
};

/// A new run of the node starts to take part.
void StartMembership(MembershipService& service);

/// Renews, joins, sends heartbeats and removes the dead, as is due.
void TickMembership(MembershipService& service, TimePoint now);

/// Sends heartbeats with the next tick, for news that should not wait.
void ExpediteHeartbeat(MembershipService& service);

/// Leaves the list and gives the lease back; `on_done` is called in any
/// case.
void LeaveMembership(MembershipService& service, std::function<void()> on_done);

/// Answers a peer's heartbeat and its request for a vote.
HeartbeatAnswer OnHeartbeat(MembershipService& service,
                            const Heartbeat& heartbeat,
                            ConfigurationVersion configuration, TimePoint now);

/// True while the node's lease certainly holds; partitions rest on it.
bool HoldsLease(const MembershipService& service, TimePoint now);

}  // namespace daisyarch
