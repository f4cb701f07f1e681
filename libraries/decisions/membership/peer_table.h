#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <vector>

#include "base/time.h"
#include "chart/state_machine.h"
#include "decisions/configuration/configuration.h"
#include "decisions/membership/member_list.h"

namespace daisyarch {

/// The leaf states of charts/peer.yaml, in the same order.
enum class PeerState : std::uint8_t { kNew, kAlive, kSuspected };

/// The events of charts/peer.yaml, in the same order.
enum class PeerEvent : std::uint8_t { kMessageReceived, kTimedOut };

/// Time between two heartbeats to the same peer.
constexpr Duration kHeartbeatInterval = std::chrono::seconds(1);
/// A peer from which no message arrived for this long is suspected. Suspicion
/// is only a hint.
constexpr Duration kSuspicionTimeout = std::chrono::seconds(3);
/// How long an acknowledgement is valid, from when its heartbeat was sent.
constexpr Duration kAcknowledgementValidity = std::chrono::seconds(4);
/// Requests in flight end within this time after the node loses permission to
/// serve.
constexpr Duration kInFlightGracePeriod = std::chrono::seconds(2);
/// A node votes to remove a peer only if it last acknowledged the peer at least
/// this long ago: longer than kAcknowledgementValidity plus
/// kInFlightGracePeriod, with a margin for clock drift.
constexpr Duration kRemovalTimeout = std::chrono::seconds(7);

/// The periodic message from a node to each peer.
struct Heartbeat {
  NodeId m_node;
  Incarnation m_incarnation;
  MemberListVersion m_members_version;
  /// The last member list that the sender has applied: it uses and lends no
  /// more slots than its shares under that list.
  MemberListVersion m_applied_members_version;
  ConfigurationVersion m_configuration_version;
  Slots m_idle_slots;
  /// False when the sender's lease in the store has run out; it can own no
  /// partition then.
  bool m_holds_lease = true;
};

/// The peer's answer to a heartbeat.
struct HeartbeatAnswer {
  Incarnation m_incarnation;
  MemberListVersion m_members_version;
  ConfigurationVersion m_configuration_version;
  /// False while the peer has voted to remove the sender.
  bool m_is_acknowledged = false;
};

/// Another member, as observed by this node.
struct Peer {
  Member m_member;
  PeerState m_state = PeerState::kNew;
  TimePoint m_last_message_at{};
  /// When this node sent the last heartbeat that the peer acknowledged.
  std::optional<TimePoint> m_acknowledged_heartbeat_sent_at;
  /// When this node last acknowledged a heartbeat of the peer.
  TimePoint m_acknowledgement_sent_at{};
  MemberListVersion m_applied_members_version;
  Slots m_idle_slots;
  bool m_holds_lease = true;  ///< As last reported by the peer.
  /// The list version under which this node voted to remove the peer.
  std::optional<MemberListVersion> m_removal_vote;
};

/// The state that the guards and actions of charts/peer.yaml read and change.
struct PeerContext {
  Peer& m_peer;
  TimePoint m_now;
};

using PeerStateMachine = StateMachine<PeerState, PeerEvent, PeerContext>;

ChartBinding<PeerContext> PeerBinding();

/// This node's own membership and its view of the other members.
struct PeerTable {
  Member m_self;
  MemberList m_members;
  std::map<NodeId, Peer> m_peers;
  /// Until when this node's lease in the store certainly holds; see
  /// HolderDeadline.
  TimePoint m_lease_deadline{};
};

/// Adopts a later list; an older one is ignored. The state of peers whose
/// incarnation is unchanged is kept.
void AdoptMembers(PeerTable& table, const MemberList& members, TimePoint now);

/// Records a peer's heartbeat and returns the answer to it.
HeartbeatAnswer AnswerHeartbeat(PeerTable& table,
                                const PeerStateMachine& state_machine,
                                const Heartbeat& heartbeat,
                                ConfigurationVersion configuration,
                                TimePoint now);

/// Applies the answer to a heartbeat that was sent at `sent_at`.
void ApplyHeartbeatAnswer(PeerTable& table,
                          const PeerStateMachine& state_machine,
                          const NodeId& node, const HeartbeatAnswer& answer,
                          TimePoint sent_at, TimePoint now);

/// Marks peers as suspected that sent no message for kSuspicionTimeout.
void CheckPeerTimeouts(PeerTable& table, const PeerStateMachine& state_machine,
                       TimePoint now);

/// Returns true while the node has permission to serve, that is, may use its
/// slots. The node must be listed. In addition, its lease must hold, a majority
/// of the other members must have acknowledged it recently, or it must be the
/// only member. While the store is down for all nodes, the majority decides.
bool MayServe(const PeerTable& table, TimePoint now);

/// Returns how many of the other members form a majority, by acknowledging a
/// node or by voting to remove it.
std::size_t Majority(std::size_t others);

/// Returns true when this node votes to remove the peer's incarnation from the
/// list. From then on, the node does not acknowledge the peer under that list,
/// so that the majorities for serving and for removal always have a node in
/// common.
bool VoteForRemoval(PeerTable& table, const NodeId& node,
                    Incarnation incarnation, MemberListVersion version,
                    TimePoint now);

/// Returns the members that can own partitions: those that hold their lease, as
/// far as this node knows.
std::vector<NodeId> PartitionCandidates(const PeerTable& table, TimePoint now);

/// Returns true when all other members have applied the present list; see
/// Heartbeat::m_applied_members_version.
bool AllPeersApplied(const PeerTable& table);

}  // namespace daisyarch
