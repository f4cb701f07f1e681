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

/// The leaves of charts/peer.yaml, in this order.
enum class PeerState : std::uint8_t { kNew, kAlive, kSuspected };

/// The events of charts/peer.yaml, in this order.
enum class PeerEvent : std::uint8_t { kHeard, kMissed };

/// Between two heartbeats to the same peer.
constexpr Duration kHeartbeatInterval = std::chrono::seconds(1);
/// A peer that is silent this long is suspected: a hint, nothing more.
constexpr Duration kSuspectAfter = std::chrono::seconds(3);
/// Acknowledgements count this long, from when the heartbeat was sent.
constexpr Duration kAcknowledgementTerm = std::chrono::seconds(4);
/// Requests in flight are settled within this time once the right to serve
/// is lost.
constexpr Duration kSettleTime = std::chrono::seconds(2);
/// A member may be voted out when it was acknowledged by nobody this long:
/// longer than its right to serve and its time to settle, with drift.
constexpr Duration kRemoveAfter = std::chrono::seconds(7);

/// What a node sends to each peer.
struct Heartbeat {
  NodeId m_node;
  Incarnation m_incarnation;
  MemberListVersion m_members;
  /// The list under which the node's slots have settled.
  MemberListVersion m_settled;
  ConfigurationVersion m_configuration;
  Slots m_idle_slots;
  /// False while the sender misses the store; it can own no partition then.
  bool m_holds_lease = true;
};

/// What the peer answers.
struct HeartbeatAnswer {
  Incarnation m_incarnation;
  MemberListVersion m_members;
  ConfigurationVersion m_configuration;
  /// False while the peer has voted to remove the sender.
  bool m_is_acknowledged = false;
};

/// One other member, as this node sees it.
struct Peer {
  Member m_member;
  PeerState m_state = PeerState::kNew;
  TimePoint m_heard_at{};
  /// When the last heartbeat that the peer acknowledged was sent.
  std::optional<TimePoint> m_acknowledged_at;
  /// When this node last acknowledged a heartbeat of the peer.
  TimePoint m_acknowledged_peer_at{};
  MemberListVersion m_settled;
  Slots m_idle_slots;
  bool m_holds_lease = true;  ///< As it said last.
  /// The list under which this node voted to remove the peer.
  std::optional<MemberListVersion> m_vote;
};

/// What the guards and actions of charts/peer.yaml read and change.
struct PeerContext {
  Peer& m_peer;
  TimePoint m_now;
};

using PeerMachine = StateMachine<PeerState, PeerEvent, PeerContext>;

ChartBinding<PeerContext> PeerBinding();

/// The other members, and this node's own standing.
struct PeerTable {
  Member m_self;
  MemberList m_members;
  std::map<NodeId, Peer> m_peers;
  /// Until when the store's lease certainly holds; see HolderDeadline.
  TimePoint m_lease_deadline{};
};

/// Takes a later list over; peers whose run goes on are kept.
void AdoptMembers(PeerTable& table, const MemberList& members, TimePoint now);

/// Answers a peer's heartbeat.
HeartbeatAnswer AnswerHeartbeat(PeerTable& table, const PeerMachine& machine,
                                const Heartbeat& heartbeat,
                                ConfigurationVersion configuration,
                                TimePoint now);

/// Takes the answer to a heartbeat over that was sent at `sent_at`.
void ApplyAnswer(PeerTable& table, const PeerMachine& machine,
                 const NodeId& node, const HeartbeatAnswer& answer,
                 TimePoint sent_at, TimePoint now);

/// Suspects peers that are silent.
void CheckPeers(PeerTable& table, const PeerMachine& machine, TimePoint now);

/// True while the node may use its slots: it is listed, and either its lease
/// holds or a majority of the others acknowledged it of late. The store may
/// be down for all; then the majority decides.
bool MayServe(const PeerTable& table, TimePoint now);

/// The others whose acknowledgement, or vote, makes a majority.
std::size_t Majority(std::size_t others);

/// True when this node votes to remove the peer's run from the list. From
/// then on it acknowledges the peer no more under that list, so that the
/// majorities for serving and for removal always have a node in common.
bool VoteForRemoval(PeerTable& table, const NodeId& node,
                    Incarnation incarnation, MemberListVersion version,
                    TimePoint now);

/// The members that can own partitions: each that holds its lease, as far
/// as this node heard.
std::vector<NodeId> PartitionCandidates(const PeerTable& table, TimePoint now);

/// True when each other member's slots have settled under the present list.
bool AllSettled(const PeerTable& table);

}  // namespace daisyarch
