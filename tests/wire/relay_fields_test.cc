#include "wire/relay_fields.h"

#include <catch2/catch.hpp>

#include "base/random.h"

namespace daisyarch::fleet {

namespace {

const TaskReference kTask{JobKey("5c0e7a21d94b36f8"), 1, 2, 70000};

RelayCall MakeCall() {
  RelayCall call;
  call.m_term = Term(3);
  call.m_session = RelaySessionNumber(4);
  call.m_sent_at = RelayMicroseconds(123'456'789'012);
  StartOrder start;
  start.m_worker = WorkerId("w1");
  start.m_task = kTask;
  start.m_run = RunNumber(1ULL << 63U);
  start.m_token = FencingToken(9);
  start.m_lease_until = WorkerMilliseconds(486000);
  start.m_payload = std::string("\0\xE1 text", 7);
  start.m_checkpoint = "00bb";
  call.m_orders.push_back({OrderNumber(1), "10.0.0.1:80", start});
  call.m_orders.push_back({OrderNumber(2), "10.0.0.1:80",
                           StopOrder{WorkerId("w1"), Incarnation(), kTask,
                                     RunNumber(2), FencingToken(9)}});
  call.m_orders.push_back({OrderNumber(3), "10.0.0.1:80",
                           ThrottleOrder{WorkerId("w1"), Incarnation(), kTask,
                                         RunNumber(2), FencingToken(9), 40}});
  PollOrder poll;
  poll.m_worker = WorkerId("w2");
  poll.m_token = FencingToken(10);
  poll.m_acknowledged = OutcomeNumber(57);
  poll.m_has_lease = true;
  poll.m_lease_until = WorkerMilliseconds(-1);
  poll.m_wait = std::chrono::milliseconds(1000);
  call.m_orders.push_back({OrderNumber(4), "10.0.0.2:80", poll});
  return call;
}

RelayAnswer MakeAnswer() {
  WorkerReport report;
  report.m_incarnation = Incarnation(1777000000000);
  report.m_clock = WorkerMilliseconds(482113);
  report.m_running.push_back({kTask, RunNumber(2), "cp", 41, 1300});
  report.m_ended.push_back(
      {OutcomeNumber(58), kTask, RunNumber(1), RunOutcome::kLapsed, ""});
  report.m_lists_all_ends = false;
  RelayAnswer answer;
  answer.m_clock = RelayMicroseconds(55);
  answer.m_is_leaving = true;
  answer.m_outcomes.push_back(
      {OrderNumber(1),
       StartAnswer{StartOutcome::kRefused, WorkerMilliseconds(77)}});
  answer.m_outcomes.push_back({OrderNumber(2), Result<void>(Success())});
  OrderOutcome stop = UnknownOutcome(StopOrder{}, "a higher token");
  std::get<Result<void>>(stop).assume_error().m_code = ErrorCode::kConflict;
  answer.m_outcomes.push_back({OrderNumber(3), std::move(stop)});
  answer.m_outcomes.push_back({OrderNumber(4), Result<WorkerReport>(report)});
  OrderOutcome poll = UnknownOutcome(PollOrder{}, "closed");
  std::get<Result<WorkerReport>>(poll).assume_error().m_is_closed_by_peer =
      true;
  answer.m_outcomes.push_back({OrderNumber(5), std::move(poll)});
  return answer;
}

}  // namespace

TEST_CASE("Calls of relays keep every field that a worker is sent") {
  const RelayCall call = MakeCall();
  const auto read = ReadRelayCall(WriteRelayCall(call), "leader");
  REQUIRE(read);
  const RelayCall& copy = read.assume_value();
  CHECK(copy.m_term == call.m_term);
  CHECK(copy.m_session == call.m_session);
  CHECK(copy.m_sent_at == call.m_sent_at);
  REQUIRE(copy.m_orders.size() == call.m_orders.size());
  CHECK(copy.m_orders[3].m_number == OrderNumber(4));
  CHECK(copy.m_orders[3].m_address == "10.0.0.2:80");
  const auto& start = std::get<StartOrder>(copy.m_orders[0].m_order);
  CHECK(start.m_task == kTask);
  CHECK(start.m_run == RunNumber(1ULL << 63U));
  CHECK(start.m_payload == std::string("\0\xE1 text", 7));
  CHECK(start.m_checkpoint == "00bb");
  CHECK(start.m_lease_until == WorkerMilliseconds(486000));
  CHECK(std::get<StopOrder>(copy.m_orders[1].m_order).m_run == RunNumber(2));
  CHECK(std::get<ThrottleOrder>(copy.m_orders[2].m_order).m_percent == 40);
  const auto& poll = std::get<PollOrder>(copy.m_orders[3].m_order);
  CHECK(poll.m_token == FencingToken(10));
  CHECK(poll.m_acknowledged == OutcomeNumber(57));
  CHECK(poll.m_has_lease);
  CHECK(poll.m_lease_until == WorkerMilliseconds(-1));
  CHECK(poll.m_wait == std::chrono::milliseconds(1000));
}

TEST_CASE("Answers of relays keep every outcome") {
  const auto read = ReadRelayAnswer(WriteRelayAnswer(MakeAnswer()), "relay");
  REQUIRE(read);
  const RelayAnswer& answer = read.assume_value();
  CHECK(answer.m_clock == RelayMicroseconds(55));
  CHECK(answer.m_is_leaving);
  REQUIRE(answer.m_outcomes.size() == 5);
  const auto& start = std::get<StartAnswer>(answer.m_outcomes[0].m_outcome);
  CHECK(start.m_outcome == StartOutcome::kRefused);
  CHECK(start.m_clock == WorkerMilliseconds(77));
  CHECK(std::get<Result<void>>(answer.m_outcomes[1].m_outcome));
  const auto& failed = std::get<Result<void>>(answer.m_outcomes[2].m_outcome);
  REQUIRE_FALSE(failed);
  CHECK(failed.assume_error().m_code == ErrorCode::kConflict);
  const auto& poll =
      std::get<Result<WorkerReport>>(answer.m_outcomes[3].m_outcome);
  REQUIRE(poll);
  const WorkerReport& report = poll.assume_value();
  CHECK(report.m_incarnation == Incarnation(1777000000000));
  CHECK(report.m_clock == WorkerMilliseconds(482113));
  CHECK_FALSE(report.m_lists_all_ends);
  REQUIRE(report.m_running.size() == 1);
  CHECK(report.m_running[0].m_task == kTask);
  CHECK(report.m_running[0].m_progress_percent == 41);
  CHECK(report.m_running[0].m_load == 1300);
  REQUIRE(report.m_ended.size() == 1);
  CHECK(report.m_ended[0].m_outcome == RunOutcome::kLapsed);
  const auto& closed =
      std::get<Result<WorkerReport>>(answer.m_outcomes[4].m_outcome);
  REQUIRE_FALSE(closed);
  CHECK(closed.assume_error().m_is_closed_by_peer);
}

TEST_CASE("A shortened message of a relay is malformed") {
  const std::string call = WriteRelayCall(MakeCall());
  const std::string answer = WriteRelayAnswer(MakeAnswer());
  for (std::size_t size = 0; size < call.size(); ++size) {
    REQUIRE_FALSE(ReadRelayCall(call.substr(0, size), "leader"));
  }
  for (std::size_t size = 0; size < answer.size(); ++size) {
    REQUIRE_FALSE(ReadRelayAnswer(answer.substr(0, size), "relay"));
  }
  CHECK_FALSE(ReadRelayCall(call + "x", "leader"));
}

TEST_CASE("Altered messages of relays are read or rejected") {
  Random random{7};
  for (int round = 0; round < 20000; ++round) {
    std::string bytes = WriteRelayAnswer(MakeAnswer());
    for (int change = 0; change < 3; ++change) {
      bytes[NextBelow(random, bytes.size())] =
          static_cast<char>(NextRandom(random));
    }
    static_cast<void>(ReadRelayAnswer(bytes, "relay"));
    static_cast<void>(ReadRelayCall(bytes, "leader"));
  }
}

TEST_CASE("Entries of relays in the store are read back") {
  const RelayNode node{NodeId("n1"), "10.0.0.1:7720", Millicores(500)};
  const auto read = ReadRelayNode(WriteRelayNode(node), "key");
  REQUIRE(read);
  CHECK(read.assume_value().m_node == node.m_node);
  CHECK(read.assume_value().m_address == node.m_address);
  CHECK(read.assume_value().m_processors == node.m_processors);
  CHECK_FALSE(ReadRelayNode("\xA1", "key"));
}

}  // namespace daisyarch::fleet
