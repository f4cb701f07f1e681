#include "membership_service.h"

#include <memory>
#include <utility>

#include "decisions/ownership/lease_deadline.h"
#include "journal/partition_head.h"
#include "log/log.h"
#include "wire/node_fields.h"

namespace daisyarch {

namespace {

constexpr const char* kMembersKey = "members";
constexpr Duration kPeerCallTimeout = std::chrono::seconds(2);
constexpr Duration kMemberListReadInterval = std::chrono::seconds(10);
/// Applies while the node has no permission to serve.
constexpr Duration kUrgentMemberListReadInterval = std::chrono::seconds(2);
constexpr Duration kRemovalCheckInterval = std::chrono::seconds(1);
constexpr Duration kJoinRetryInterval = std::chrono::milliseconds(500);
constexpr std::int64_t kRenewalsPerTerm = 3;

void AdoptMemberList(MembershipService& service, const MemberList& list) {
  const MemberListVersion before = service.m_table.m_members.m_version;
  AdoptMembers(service.m_table, list, service.m_runtime.m_clock.m_now());
  if (service.m_table.m_members.m_version == before) return;
  LogEvent(LogLevel::kInfo, "members_adopted",
           {{"version", list.m_version.value()},
            {"members", static_cast<std::uint64_t>(list.m_members.size())}});
  service.m_on_members_adopted();
}

bool IsListed(const MembershipService& service) {
  const Member& self = service.m_table.m_self;
  const Member* listed = FindMember(service.m_table.m_members, self.m_node);
  return listed != nullptr && listed->m_incarnation == self.m_incarnation;
}

void GrantNodeLease(MembershipService& service) {
  const TimePoint asked_at = service.m_runtime.m_clock.m_now();
  const Duration term = service.m_runtime.m_settings.m_node_lease;
  service.m_is_waiting = true;
  service.m_runtime.m_platform.m_grant_lease(
      term, [&service, asked_at, term](Result<StoreLeaseId> result) {
        service.m_is_waiting = false;
        if (!result)
          return LogError("lease_not_granted", result.assume_error());
        service.m_lease = result.assume_value();
        service.m_granted_lease_deadline = HolderDeadline(asked_at, term);
        service.m_join_step = JoinStep::kWritePresence;
      });
}

void OnPresenceWritten(MembershipService& service,
                       const Result<SwapResult>& result) {
  service.m_is_waiting = false;
  if (!result) {
    LogError("presence_not_written", result.assume_error());
    // The lease expired while the store did not answer, so a new one is needed.
    const bool is_lapsed = result.assume_error().m_code == ErrorCode::kNotFound;
    if (is_lapsed) service.m_join_step = JoinStep::kGrantLease;
    return;
  }
  const SwapResult& swap = result.assume_value();
  const auto presence =
      DecodeCbor<NodePresence>(swap.m_entry.m_value, "read presence", "store");
  const bool is_own_incarnation =
      presence && presence.assume_value().m_incarnation ==
                      service.m_table.m_self.m_incarnation;
  // The key still belongs to an earlier incarnation. The node waits until that
  // one's lease expires, because the process may be paused rather than dead.
  if (!swap.m_is_swapped && !is_own_incarnation) return;
  service.m_table.m_lease_deadline = service.m_granted_lease_deadline;
  service.m_join_step = JoinStep::kJoinMemberList;
}

void WritePresence(MembershipService& service) {
  service.m_is_waiting = true;
  const NodePresence presence{service.m_table.m_self.m_incarnation};
  service.m_runtime.m_platform.m_compare_and_swap(
      PresenceKey(service.m_table.m_self.m_node), StoreVersion(),
      WriteCbor(Encode(presence)), service.m_lease,
      [&service](const Result<SwapResult>& result) {
        OnPresenceWritten(service, result);
      });
}

void ReadMemberList(MembershipService& service, std::function<void()> on_read) {
  service.m_list_read_at = service.m_runtime.m_clock.m_now();
  service.m_runtime.m_platform.m_read(
      kMembersKey,
      [&service, on_read = std::move(on_read)](Result<StoreEntry> result) {
        if (!result) {
          service.m_is_waiting = false;
          return;
        }
        const StoreEntry& entry = result.assume_value();
        service.m_list_store_version = entry.m_version;
        if (entry.m_version != StoreVersion()) {
          auto list =
              DecodeCbor<MemberList>(entry.m_value, "read members", "store");
          if (!list) {
            service.m_is_waiting = false;
            return LogError("members_unreadable", list.assume_error());
          }
          AdoptMemberList(service, list.assume_value());
        }
        on_read();
      });
}

void WriteMemberList(MembershipService& service, const MemberList& list,
                     std::function<void()> on_done) {
  service.m_runtime.m_platform.m_compare_and_swap(
      kMembersKey, service.m_list_store_version, WriteCbor(Encode(list)),
      StoreLeaseId(),
      [&service, list,
       on_done = std::move(on_done)](const Result<SwapResult>& result) {
        if (result && result.assume_value().m_is_swapped) {
          service.m_list_store_version =
              result.assume_value().m_entry.m_version;
          AdoptMemberList(service, list);
        } else {
          // Another node changed the list first, or the answer was lost. The
          // list is read again at once.
          service.m_list_read_at = TimePoint();
        }
        on_done();
      });
}

void JoinMemberList(MembershipService& service) {
  service.m_is_waiting = true;
  ReadMemberList(service, [&service] {
    if (IsListed(service)) {
      service.m_is_waiting = false;
      service.m_join_step = JoinStep::kJoined;
      return;
    }
    const MemberList joined =
        WithMember(service.m_table.m_members, service.m_table.m_self);
    // The node stays in this join step: whether the write succeeded or failed,
    // the next attempt reads the list again.
    WriteMemberList(service, joined,
                    [&service] { service.m_is_waiting = false; });
  });
}

void OnRenewalAnswered(MembershipService& service, TimePoint asked_at,
                       const Result<StoreLeaseId>& result) {
  service.m_is_renewal_pending = false;
  if (result) {
    service.m_table.m_lease_deadline =
        HolderDeadline(asked_at, service.m_runtime.m_settings.m_node_lease);
    return;
  }
  LogError("lease_not_renewed", result.assume_error());
  if (result.assume_error().m_code != ErrorCode::kNotFound) return;
  if (service.m_is_leaving) return;
  service.m_join_step = JoinStep::kGrantLease;
}

void RenewNodeLease(MembershipService& service, TimePoint now) {
  const Duration term = service.m_runtime.m_settings.m_node_lease;
  service.m_next_renewal_at = now + term / kRenewalsPerTerm;
  service.m_is_renewal_pending = true;
  service.m_runtime.m_platform.m_renew_lease(
      service.m_lease, [&service, now](const Result<StoreLeaseId>& result) {
        OnRenewalAnswered(service, now, result);
      });
}

void OnHeartbeatAnswered(MembershipService& service, const NodeId& node,
                         TimePoint sent_at, const Result<Json>& result) {
  if (!result) return;
  const auto answer = Decode<HeartbeatAnswer>(
      result.assume_value(), "read heartbeat answer", node.value());
  if (!answer) return LogError("bad_heartbeat", answer.assume_error());
  const HeartbeatAnswer& body = answer.assume_value();
  ApplyHeartbeatAnswer(service.m_table,
                       service.m_runtime.m_state_machines.m_peer, node, body,
                       sent_at, service.m_runtime.m_clock.m_now());
  if (body.m_members_version > service.m_table.m_members.m_version) {
    service.m_list_read_at = TimePoint();
  }
  const Member* member = FindMember(service.m_table.m_members, node);
  Heartbeat own_heartbeat;
  service.m_fill_heartbeat(own_heartbeat);
  if (member != nullptr &&
      body.m_configuration_version > own_heartbeat.m_configuration_version) {
    service.m_on_later_configuration(*member);
  }
}

void SendHeartbeats(MembershipService& service, TimePoint now) {
  service.m_next_heartbeat_at = now + kHeartbeatInterval;
  Heartbeat heartbeat;
  heartbeat.m_node = service.m_table.m_self.m_node;
  heartbeat.m_incarnation = service.m_table.m_self.m_incarnation;
  heartbeat.m_members_version = service.m_table.m_members.m_version;
  heartbeat.m_holds_lease = HoldsLease(service, now);
  service.m_fill_heartbeat(heartbeat);
  const Json body = Encode(heartbeat);
  // Iterates over a copy, because an answer may change the table.
  const auto peers = service.m_table.m_peers;
  for (const auto& [node, peer] : peers) {
    service.m_runtime.m_peers.m_call(
        peer.m_member.m_mesh_address, "heartbeat", body, kPeerCallTimeout,
        [&service, node = node, now](const Result<Json>& result) {
          OnHeartbeatAnswered(service, node, now, result);
        });
  }
}

/// The votes received for removing one member.
struct Ballot {
  Member m_candidate;
  MemberList m_list;
  std::size_t m_votes = 0;
  std::size_t m_needed = 0;
  bool m_is_decided = false;
};

void CountVote(MembershipService& service,
               const std::shared_ptr<Ballot>& ballot) {
  ++ballot->m_votes;
  if (ballot->m_is_decided || ballot->m_votes < ballot->m_needed) return;
  ballot->m_is_decided = true;
  const NodeId& node = ballot->m_candidate.m_node;
  if (service.m_table.m_members.m_version != ballot->m_list.m_version) return;
  LogEvent(LogLevel::kWarning, "removal_voted", {{"node", node.value()}});
  WriteMemberList(service, WithoutMember(ballot->m_list, node), [] {});
}

void RequestRemovalVotes(MembershipService& service, const Member& candidate,
                         TimePoint now) {
  const auto ballot = std::make_shared<Ballot>();
  ballot->m_candidate = candidate;
  ballot->m_list = service.m_table.m_members;
  ballot->m_needed = Majority(ballot->m_list.m_members.size() - 1);
  const RemovalVote vote{candidate.m_node, candidate.m_incarnation,
                         ballot->m_list.m_version};
  if (!VoteForRemoval(service.m_table, vote.m_node, vote.m_incarnation,
                      vote.m_members, now)) {
    return;
  }
  CountVote(service, ballot);
  const auto peers = service.m_table.m_peers;
  for (const auto& [node, peer] : peers) {
    if (node == candidate.m_node) continue;
    service.m_runtime.m_peers.m_call(
        peer.m_member.m_mesh_address, "vote_removal", Encode(vote),
        kPeerCallTimeout, [&service, ballot](const Result<Json>& result) {
          if (result && result.assume_value() == Json(true)) {
            CountVote(service, ballot);
          }
        });
  }
}

// A member may serve on the strength of its lease alone, so no vote is held
// while its presence key, which is bound to the lease, is still in the store.
void CheckPresenceBeforeRemoval(MembershipService& service,
                                const Member& candidate) {
  service.m_is_checking_presence = true;
  service.m_runtime.m_platform.m_read(
      PresenceKey(candidate.m_node),
      [&service, candidate](Result<StoreEntry> result) {
        service.m_is_checking_presence = false;
        if (!result) return;
        const StoreEntry& entry = result.assume_value();
        if (entry.m_version != StoreVersion()) {
          const auto presence = DecodeCbor<NodePresence>(
              entry.m_value, "read presence", candidate.m_node.value());
          if (!presence) return;
          if (presence.assume_value().m_incarnation ==
              candidate.m_incarnation) {
            return;
          }
        }
        RequestRemovalVotes(service, candidate,
                            service.m_runtime.m_clock.m_now());
      });
}

void RemoveUnresponsiveMembers(MembershipService& service, TimePoint now) {
  if (service.m_is_checking_presence || now < service.m_next_removal_at) return;
  service.m_next_removal_at = now + kRemovalCheckInterval;
  for (const auto& [node, peer] : service.m_table.m_peers) {
    if (now < peer.m_last_message_at + kRemovalTimeout) continue;
    return CheckPresenceBeforeRemoval(service, peer.m_member);
  }
}

void RunJoinStep(MembershipService& service, TimePoint now) {
  if (service.m_is_waiting || service.m_is_leaving) return;
  // A step that succeeds is followed by the next one without delay; one that
  // fails is retried after kJoinRetryInterval.
  const bool is_retry = service.m_join_step == service.m_last_join_step;
  if (is_retry && now < service.m_step_started_at + kJoinRetryInterval) return;
  service.m_last_join_step = service.m_join_step;
  service.m_step_started_at = now;
  switch (service.m_join_step) {
    case JoinStep::kGrantLease:
      return GrantNodeLease(service);
    case JoinStep::kWritePresence:
      return WritePresence(service);
    case JoinStep::kJoinMemberList:
      return JoinMemberList(service);
    case JoinStep::kJoined:
      return;
  }
}

void RefreshMemberList(MembershipService& service, TimePoint now) {
  const bool may_serve = MayServe(service.m_table, now);
  const Duration interval =
      may_serve ? kMemberListReadInterval : kUrgentMemberListReadInterval;
  if (service.m_is_waiting || now < service.m_list_read_at + interval) return;
  service.m_is_waiting = true;
  ReadMemberList(service, [&service] {
    service.m_is_waiting = false;
    // The other members removed this node. It joins again as a new incarnation,
    // so that loans and partitions of the old one are not attributed to it.
    if (!IsListed(service) && !service.m_is_leaving) StartMembership(service);
  });
}

}  // namespace

void StartMembership(MembershipService& service) {
  Member& self = service.m_table.m_self;
  const Settings& settings = service.m_runtime.m_settings;
  const auto unix_milliseconds = static_cast<std::uint64_t>(
      service.m_runtime.m_clock.m_unix_milliseconds());
  self.m_node = settings.m_node;
  self.m_incarnation =
      Incarnation(std::max(unix_milliseconds, self.m_incarnation.value() + 1));
  self.m_mesh_address = ToString(settings.m_mesh_address);
  self.m_http_address = ToString(settings.m_http_address);
  self.m_failure_domain = settings.m_failure_domain;
  service.m_table.m_lease_deadline = TimePoint();
  service.m_join_step = JoinStep::kGrantLease;
  if (service.m_lease == StoreLeaseId()) return;
  service.m_runtime.m_platform.m_revoke_lease(service.m_lease,
                                              [](const auto&) {});
  service.m_lease = StoreLeaseId();
}

void TickMembership(MembershipService& service, TimePoint now) {
  RunJoinStep(service, now);
  const bool has_lease = service.m_join_step == JoinStep::kJoinMemberList ||
                         service.m_join_step == JoinStep::kJoined;
  if (has_lease && !service.m_is_renewal_pending &&
      now >= service.m_next_renewal_at) {
    RenewNodeLease(service, now);
  }
  if (service.m_join_step != JoinStep::kJoined) return;
  CheckPeerTimeouts(service.m_table, service.m_runtime.m_state_machines.m_peer,
                    now);
  if (now >= service.m_next_heartbeat_at) SendHeartbeats(service, now);
  RefreshMemberList(service, now);
  RemoveUnresponsiveMembers(service, now);
}

void ExpediteHeartbeat(MembershipService& service) {
  service.m_next_heartbeat_at = TimePoint();
}

void LeaveMembership(MembershipService& service,
                     std::function<void()> on_done) {
  service.m_is_leaving = true;
  const MemberList remaining =
      WithoutMember(service.m_table.m_members, service.m_table.m_self.m_node);
  WriteMemberList(service, remaining, [&service, on_done = std::move(on_done)] {
    service.m_runtime.m_platform.m_revoke_lease(
        service.m_lease, [on_done](const auto&) { on_done(); });
  });
}

HeartbeatAnswer OnHeartbeat(MembershipService& service,
                            const Heartbeat& heartbeat,
                            ConfigurationVersion configuration, TimePoint now) {
  if (heartbeat.m_members_version > service.m_table.m_members.m_version) {
    service.m_list_read_at = TimePoint();
  }
  return AnswerHeartbeat(service.m_table,
                         service.m_runtime.m_state_machines.m_peer, heartbeat,
                         configuration, now);
}

bool HoldsLease(const MembershipService& service, TimePoint now) {
  return now < service.m_table.m_lease_deadline;
}

}  // namespace daisyarch
