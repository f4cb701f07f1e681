#pragma once

#include <functional>
#include <vector>

#include "decisions/membership/peer_table.h"
#include "runtime.h"

namespace daisyarch {

/// The next step of a node that joins, or kJoined.
enum class JoinStep { kGrantLease, kWritePresence, kJoinMemberList, kJoined };

/// Keeps the node's lease and its entry in the member list, and exchanges
/// heartbeats with the other nodes.
struct MembershipService {
  Runtime& m_runtime;
  PeerTable m_table;
  JoinStep m_join_step = JoinStep::kGrantLease;
  JoinStep m_last_join_step = JoinStep::kJoined;
  TimePoint m_step_started_at{};
  /// A join step or a read of the member list waits for the store's answer.
  bool m_is_waiting = false;
  bool m_is_renewal_pending = false;
  bool m_is_leaving = false;
  bool m_is_checking_presence = false;
  StoreLeaseId m_lease;
  /// Deadline of a granted lease; in force once the presence key is written.
  TimePoint m_granted_lease_deadline{};
  TimePoint m_next_renewal_at{};
  TimePoint m_next_heartbeat_at{};
  TimePoint m_list_read_at{};  ///< Start of the last read.
  TimePoint m_next_removal_at{};
  StoreVersion m_list_store_version;  ///< Of the list's key in the store.

  /// Adds the other services' fields to a heartbeat.
  std::function<void(Heartbeat&)> m_fill_heartbeat;
  /// Called after a later member list has come into force.
  std::function<void()> m_on_members_adopted;
  /// Called with a peer that holds a later configuration.
  std::function<void(const Member&)> m_on_later_configuration;
};

/// Starts to join as a new incarnation of the node and revokes the lease of the
/// previous one, if any.
void StartMembership(MembershipService& service);

/// Runs what is due: join steps, lease renewal, heartbeats, reading the member
/// list and removing unresponsive members.
void TickMembership(MembershipService& service, TimePoint now);

/// Makes the next tick send heartbeats, for changes that should not wait for
/// the heartbeat interval.
void ExpediteHeartbeat(MembershipService& service);

/// Removes this node from the member list, then revokes its lease. Calls
/// `on_done` whether or not they succeed.
void LeaveMembership(MembershipService& service, std::function<void()> on_done);

/// Answers a peer's heartbeat. Schedules a read of the member list if the peer
/// has a later one.
HeartbeatAnswer OnHeartbeat(MembershipService& service,
                            const Heartbeat& heartbeat,
                            ConfigurationVersion configuration, TimePoint now);

/// Returns whether the node's lease certainly holds. A node may act as the
/// owner of partitions only while it does.
bool HoldsLease(const MembershipService& service, TimePoint now);

}  // namespace daisyarch
