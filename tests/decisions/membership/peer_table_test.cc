#include "decisions/membership/peer_table.h"

#include <catch2/catch.hpp>

#include "runtime.h"

namespace daisyarch {

namespace {

constexpr TimePoint kStart{std::chrono::seconds(100)};

MemberList MakeMembers(std::size_t count) {
  MemberList list;
  list.m_version = MemberListVersion(1);
  for (std::size_t index = 0; index < count; ++index) {
    list.m_members.push_back(Member{
        NodeId("n" + std::to_string(index)), Incarnation(1), "", "", {}});
  }
  return list;
}

PeerTable MakeTable(const MemberList& members, std::size_t self) {
  PeerTable table;
  table.m_self = members.m_members[self];
  AdoptMembers(table, members, kStart);
  return table;
}

void Acknowledge(PeerTable& table, const PeerStateMachine& state_machine,
                 const std::string& node, TimePoint sent_at) {
  HeartbeatAnswer answer;
  answer.m_incarnation = Incarnation(1);
  answer.m_is_acknowledged = true;
  ApplyHeartbeatAnswer(table, state_machine, NodeId(node), answer, sent_at,
                       sent_at);
}

}  // namespace

TEST_CASE("The majorities for serving and for removal share a node") {
  for (std::size_t others = 1; others <= 50; ++others) {
    CHECK(2 * Majority(others) > others);
  }
}

TEST_CASE("Without its lease a node serves while a majority acknowledges it") {
  const auto state_machines = LoadStateMachines(DAISYARCH_CHARTS);
  REQUIRE(state_machines);
  const PeerStateMachine& state_machine = state_machines.assume_value().m_peer;
  PeerTable table = MakeTable(MakeMembers(5), 0);
  CHECK(!MayServe(table, kStart));
  Acknowledge(table, state_machine, "n1", kStart);
  Acknowledge(table, state_machine, "n2", kStart);
  CHECK(!MayServe(table, kStart));
  Acknowledge(table, state_machine, "n3", kStart);
  CHECK(MayServe(table, kStart));
  CHECK(!MayServe(table, kStart + kAcknowledgementValidity));
  table.m_lease_deadline = kStart + std::chrono::minutes(1);
  CHECK(MayServe(table, kStart + kAcknowledgementValidity));
}

TEST_CASE("A node that voted to remove a peer no longer acknowledges it") {
  const auto state_machines = LoadStateMachines(DAISYARCH_CHARTS);
  REQUIRE(state_machines);
  const PeerStateMachine& state_machine = state_machines.assume_value().m_peer;
  PeerTable table = MakeTable(MakeMembers(3), 0);
  Heartbeat heartbeat;
  heartbeat.m_node = NodeId("n1");
  heartbeat.m_incarnation = Incarnation(1);
  const MemberListVersion version(1);
  CHECK(AnswerHeartbeat(table, state_machine, heartbeat, {}, kStart)
            .m_is_acknowledged);
  CHECK(!VoteForRemoval(table, NodeId("n1"), Incarnation(1), version,
                        kStart + kRemovalTimeout - Duration(1)));
  CHECK(!VoteForRemoval(table, NodeId("n1"), Incarnation(2), version,
                        kStart + kRemovalTimeout));
  CHECK(VoteForRemoval(table, NodeId("n1"), Incarnation(1), version,
                       kStart + kRemovalTimeout));
  CHECK(!AnswerHeartbeat(table, state_machine, heartbeat, {},
                         kStart + kRemovalTimeout)
             .m_is_acknowledged);
  // A later member list clears the vote, whatever its content.
  MemberList later = MakeMembers(3);
  later.m_version = MemberListVersion(2);
  AdoptMembers(table, later, kStart + kRemovalTimeout);
  CHECK(AnswerHeartbeat(table, state_machine, heartbeat, {},
                        kStart + kRemovalTimeout)
            .m_is_acknowledged);
}

TEST_CASE("Removal votes wait longer than permission to serve can last") {
  CHECK(kRemovalTimeout > kAcknowledgementValidity + kInFlightGracePeriod);
}

}  // namespace daisyarch
