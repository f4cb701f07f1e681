#include "decisions/membership/peer_table.h"

#include <algorithm>

namespace daisyarch {

namespace {

void RecordMessage(PeerContext& context) {
  context.m_peer.m_last_message_at = context.m_now;
}

void StepPeer(const PeerStateMachine& state_machine, Peer& peer,
              PeerEvent event, TimePoint now) {
  PeerContext context{peer, now};
  state_machine.Step(peer.m_state, event, context);
}

bool HasRecentAcknowledgement(const Peer& peer, TimePoint now) {
  return peer.m_acknowledged_heartbeat_sent_at &&
         now <
             *peer.m_acknowledged_heartbeat_sent_at + kAcknowledgementValidity;
}

}  // namespace

ChartBinding<PeerContext> PeerBinding() {
  return {{"new", "alive", "suspected"},
          {"message_received", "timed_out"},
          {},
          {{"record_message", RecordMessage}}};
}

void AdoptMembers(PeerTable& table, const MemberList& members, TimePoint now) {
  if (members.m_version <= table.m_members.m_version) return;
  std::map<NodeId, Peer> peers;
  for (const Member& member : members.m_members) {
    if (member.m_node == table.m_self.m_node) continue;
    const auto known = table.m_peers.find(member.m_node);
    const bool is_same_incarnation =
        known != table.m_peers.end() &&
        known->second.m_member.m_incarnation == member.m_incarnation;
    Peer peer;
    if (is_same_incarnation) peer = known->second;
    peer.m_member = member;
    // A vote counts only under the list version it was cast for. Now that a
    // later version exists, a late write can no longer change the old one.
    peer.m_removal_vote.reset();
    if (!is_same_incarnation) {
      peer.m_last_message_at = now;
      peer.m_acknowledgement_sent_at = now;
    }
    peers.emplace(member.m_node, peer);
  }
  table.m_peers = std::move(peers);
  table.m_members = members;
}

HeartbeatAnswer AnswerHeartbeat(PeerTable& table,
                                const PeerStateMachine& state_machine,
                                const Heartbeat& heartbeat,
                                ConfigurationVersion configuration,
                                TimePoint now) {
  HeartbeatAnswer answer;
  answer.m_incarnation = table.m_self.m_incarnation;
  answer.m_members_version = table.m_members.m_version;
  answer.m_configuration_version = configuration;
  const auto found = table.m_peers.find(heartbeat.m_node);
  if (found == table.m_peers.end()) return answer;
  Peer& peer = found->second;
  if (peer.m_member.m_incarnation != heartbeat.m_incarnation) return answer;
  StepPeer(state_machine, peer, PeerEvent::kMessageReceived, now);
  peer.m_applied_members_version = heartbeat.m_applied_members_version;
  peer.m_idle_slots = heartbeat.m_idle_slots;
  peer.m_holds_lease = heartbeat.m_holds_lease;
  if (peer.m_removal_vote) return answer;
  peer.m_acknowledgement_sent_at = now;
  answer.m_is_acknowledged = true;
  return answer;
}

void ApplyHeartbeatAnswer(PeerTable& table,
                          const PeerStateMachine& state_machine,
                          const NodeId& node, const HeartbeatAnswer& answer,
                          TimePoint sent_at, TimePoint now) {
  const auto found = table.m_peers.find(node);
  if (found == table.m_peers.end()) return;
  Peer& peer = found->second;
  if (peer.m_member.m_incarnation != answer.m_incarnation) return;
  StepPeer(state_machine, peer, PeerEvent::kMessageReceived, now);
  if (!answer.m_is_acknowledged) return;
  peer.m_acknowledged_heartbeat_sent_at = std::max(
      peer.m_acknowledged_heartbeat_sent_at.value_or(sent_at), sent_at);
}

void CheckPeerTimeouts(PeerTable& table, const PeerStateMachine& state_machine,
                       TimePoint now) {
  for (auto& [node, peer] : table.m_peers) {
    if (now < peer.m_last_message_at + kSuspicionTimeout) continue;
    StepPeer(state_machine, peer, PeerEvent::kTimedOut, now);
  }
}

std::size_t Majority(std::size_t others) { return others / 2 + 1; }

bool MayServe(const PeerTable& table, TimePoint now) {
  const Member* self = FindMember(table.m_members, table.m_self.m_node);
  if (self == nullptr) return false;
  if (self->m_incarnation != table.m_self.m_incarnation) return false;
  if (now < table.m_lease_deadline) return true;
  if (table.m_peers.empty()) return true;
  const auto acknowledged = static_cast<std::size_t>(std::count_if(
      table.m_peers.begin(), table.m_peers.end(), [now](const auto& entry) {
        return HasRecentAcknowledgement(entry.second, now);
      }));
  return acknowledged >= Majority(table.m_peers.size());
}

bool VoteForRemoval(PeerTable& table, const NodeId& node,
                    Incarnation incarnation, MemberListVersion version,
                    TimePoint now) {
  if (version != table.m_members.m_version) return false;
  const auto found = table.m_peers.find(node);
  if (found == table.m_peers.end()) return false;
  Peer& peer = found->second;
  if (peer.m_member.m_incarnation != incarnation) return false;
  if (now < peer.m_acknowledgement_sent_at + kRemovalTimeout) return false;
  peer.m_removal_vote = version;
  return true;
}

// The nodes' views may differ for a while. Two nodes may then claim the same
// partition, and the store lets only one succeed.
std::vector<NodeId> PartitionCandidates(const PeerTable& table, TimePoint now) {
  std::vector<NodeId> candidates;
  for (const Member& member : table.m_members.m_members) {
    const auto peer = table.m_peers.find(member.m_node);
    const bool holds_lease = peer == table.m_peers.end()
                                 ? now < table.m_lease_deadline
                                 : peer->second.m_holds_lease;
    if (holds_lease) candidates.push_back(member.m_node);
  }
  return candidates;
}

bool AllPeersApplied(const PeerTable& table) {
  return std::all_of(table.m_peers.begin(), table.m_peers.end(),
                     [&table](const auto& entry) {
                       return entry.second.m_applied_members_version >=
                              table.m_members.m_version;
                     });
}

}  // namespace daisyarch
