#include <catch2/catch.hpp>
#include <map>
#include <set>

#include "fakes/fake_fleet.h"
#include "wire/json.h"

namespace daisyarch {

namespace {

constexpr std::uint64_t kSeeds = 40;
constexpr std::uint64_t kRounds = 16;
constexpr int kRequestsPerRound = 150;
constexpr unsigned kStatusOk = 200;

/// A request as its client sees it.
struct SentRequest {
  std::string m_body;
  std::string m_idempotency_key;
  FakeNode* m_node = nullptr;
  int m_answers = 0;
  HttpResponse m_answer;
};

struct RequestSimulation {
  explicit RequestSimulation(std::uint64_t seed) : m_fleet(seed) {
    for (int index = 0; index < 5; ++index) {
      AddEndpoint(m_fleet, "e" + std::to_string(index));
    }
    for (auto& [id, endpoint] : m_fleet.m_endpoints) {
      endpoint.m_service_time = std::chrono::milliseconds(40);
      endpoint.m_jitter = 0.5;
    }
  }

  FakeFleet m_fleet;
  std::vector<std::unique_ptr<SentRequest>> m_sent;
  std::vector<std::string> m_keys;
};

FakeNode& StartTestNode(RequestSimulation& simulation,
                        const std::string& name) {
  return AddNode(simulation.m_fleet, MakeTestSettings(name, "a", {"a"}));
}

std::vector<FakeNode*> FindServingNodes(RequestSimulation& simulation) {
  std::vector<FakeNode*> serving_nodes;
  for (const auto& node : simulation.m_fleet.m_nodes) {
    const bool is_serving =
        node->m_is_alive && !node->m_has_stopped_accepting &&
        simulation.m_fleet.m_loop.m_now >= node->m_paused_until;
    if (is_serving) serving_nodes.push_back(node.get());
  }
  return serving_nodes;
}

void SendRandomRequest(RequestSimulation& simulation) {
  FakeLoop& loop = simulation.m_fleet.m_loop;
  const auto serving_nodes = FindServingNodes(simulation);
  if (serving_nodes.empty()) return;
  // The load is uneven: the first serving node gets more than half of it.
  FakeNode& node =
      Chance(loop, 0.5)
          ? *serving_nodes[0]
          : *serving_nodes[NextBelow(loop.m_random, serving_nodes.size())];
  auto sent = std::make_unique<SentRequest>();
  sent->m_body = "request-" + std::to_string(simulation.m_sent.size());
  sent->m_node = &node;
  HttpRequest request;
  request.m_method = "POST";
  request.m_target = "/";
  request.m_body = sent->m_body;
  request.m_headers.emplace_back(kClassHeader, "quotes");
  request.m_headers.emplace_back(
      kMemberHeader, "m" + std::to_string(NextBelow(loop.m_random, 3)));
  request.m_headers.emplace_back(kDeadlineHeader, "3000");
  if (Chance(loop, 0.3)) {
    // Some requests repeat an earlier key, through a random node. Keys are per
    // member, so all these requests have the same member header.
    const bool is_repeat = !simulation.m_keys.empty() && Chance(loop, 0.4);
    sent->m_idempotency_key =
        is_repeat
            ? simulation
                  .m_keys[NextBelow(loop.m_random, simulation.m_keys.size())]
            : "key-" + std::to_string(simulation.m_sent.size());
    if (!is_repeat) simulation.m_keys.push_back(sent->m_idempotency_key);
    request.m_headers[1].second = "m0";
    request.m_headers.emplace_back(kIdempotencyKeyHeader,
                                   sent->m_idempotency_key);
  }
  SentRequest* entry = sent.get();
  simulation.m_sent.push_back(std::move(sent));
  SendRequest(node, std::move(request), [entry](HttpResponse answer) {
    ++entry->m_answers;
    entry->m_answer = std::move(answer);
  });
}

void SendRound(RequestSimulation& simulation) {
  FakeLoop& loop = simulation.m_fleet.m_loop;
  for (int index = 0; index < kRequestsPerRound; ++index) {
    SendRandomRequest(simulation);
    RunFor(loop, DelayBetween(loop, std::chrono::milliseconds(0),
                              std::chrono::milliseconds(20)));
  }
}

FakeEndpoint& PickEndpoint(RequestSimulation& simulation) {
  auto& endpoints = simulation.m_fleet.m_endpoints;
  auto endpoint = endpoints.begin();
  std::advance(endpoint,
               NextBelow(simulation.m_fleet.m_loop.m_random, endpoints.size()));
  return endpoint->second;
}

void InjectFault(RequestSimulation& simulation) {
  FakeFleet& fleet = simulation.m_fleet;
  FakeLoop& loop = fleet.m_loop;
  const auto serving_nodes = FindServingNodes(simulation);
  if (serving_nodes.empty()) return;
  FakeNode& node =
      *serving_nodes[NextBelow(loop.m_random, serving_nodes.size())];
  switch (NextBelow(loop.m_random, 8)) {
    case 0:
      KillNode(node);
      StartTestNode(simulation,
                    node.m_services->m_runtime.m_settings.m_node.value());
      return;
    case 1:
      PauseNode(fleet, node,
                DelayBetween(loop, std::chrono::seconds(1),
                             std::chrono::seconds(30)));
      return;
    case 2:
      fleet.m_platform.m_outage_until =
          loop.m_now +
          DelayBetween(loop, std::chrono::seconds(1), std::chrono::seconds(30));
      return;
    case 3:
      PickEndpoint(simulation).m_refuses ^= true;
      return;
    case 4:
      PickEndpoint(simulation).m_no_answer_probability = 0.2;
      return;
    case 5:
      PickEndpoint(simulation).m_crossed_answer_probability = 0.2;
      return;
    case 6:
      if (serving_nodes.size() > 1)
        BreakNodeLink(fleet, *serving_nodes[0], *serving_nodes[1]);
      return;
    default:
      fleet.m_broken_node_links.clear();
      for (auto& [id, endpoint] : fleet.m_endpoints) {
        endpoint.m_refuses = false;
        endpoint.m_no_answer_probability = 0;
        endpoint.m_crossed_answer_probability = 0;
      }
      return;
  }
}

std::string ErrorCodeOf(const HttpResponse& answer) {
  const auto body = ParseJson(answer.m_body, "", "");
  if (!body || !body.assume_value().is_object()) return "";
  return body.assume_value().value("code", "");
}

// Checks an answer and returns "served" or its error code.
std::string CheckAnswer(const RequestSimulation& simulation,
                        const SentRequest& sent) {
  if (sent.m_answer.m_status == kStatusOk) {
    CHECK(sent.m_answer.m_body == sent.m_body);
    return "served";
  }
  const std::string code = ErrorCodeOf(sent.m_answer);
  if (code == "not_run") {
    CHECK(simulation.m_fleet.m_deliveries.count(sent.m_body) == 0);
  }
  return code;
}

void CheckIdempotencyKeys(const RequestSimulation& simulation) {
  std::map<std::string, int> deliveries;
  for (const auto& sent : simulation.m_sent) {
    if (sent->m_idempotency_key.empty()) continue;
    const auto found = simulation.m_fleet.m_deliveries.find(sent->m_body);
    if (found == simulation.m_fleet.m_deliveries.end()) continue;
    deliveries[sent->m_idempotency_key] += found->second;
  }
  for (const auto& [key, count] : deliveries) {
    INFO(key);
    CHECK(count <= 1);
  }
}

void RunSimulation(std::uint64_t seed) {
  INFO("seed " << seed);
  RequestSimulation simulation(seed);
  FakeFleet& fleet = simulation.m_fleet;
  FakeNode& first = StartTestNode(simulation, "n1");
  for (const char* name : {"n2", "n3", "n4"}) StartTestNode(simulation, name);
  RunFor(fleet.m_loop, std::chrono::seconds(6));
  SetTarget(fleet, first,
            ClassTarget{ClassId("quotes"), ClassKind::kRequest,
                        std::chrono::seconds(2)});
  RunFor(fleet.m_loop, std::chrono::seconds(5));
  fleet.m_platform.m_answer_loss_probability = 0.03;
  fleet.m_platform.m_late_effect_probability = 0.03;
  for (std::uint64_t round = 0; round < kRounds; ++round) {
    SendRound(simulation);
    InjectFault(simulation);
  }
  RunFor(fleet.m_loop, std::chrono::seconds(60));
  std::map<std::string, int> outcomes;
  for (const auto& sent : simulation.m_sent) {
    // The connection to a node that died has closed, maybe without an answer.
    if (!sent->m_node->m_is_alive) {
      CHECK(sent->m_answers <= 1);
      continue;
    }
    CHECK(sent->m_answers == 1);
    ++outcomes[CheckAnswer(simulation, *sent)];
  }
  CheckIdempotencyKeys(simulation);
  CHECK(FindSlotViolation(fleet) == "");
  // Ensures that the checks above had answers to check.
  CHECK(outcomes["served"] > 100);
}

}  // namespace

TEST_CASE(
    "Answers are complete and match their requests, not_run is accurate, and "
    "slot limits hold under faults",
    "[invariant]") {
  for (std::uint64_t seed = 1; seed <= kSeeds; ++seed) RunSimulation(seed);
}

// Every node gets more requests than it has slots while nodes die, pause and
// drain. If a node used a share of the slots before the other nodes have given
// it up, an endpoint would exceed its slots.
TEST_CASE("An endpoint's slots are never exceeded by all nodes together",
          "[invariant]") {
  constexpr std::uint64_t kSlotSeeds = 12;
  constexpr int kOverloadRounds = 14;
  std::int64_t most_in_use = 0;
  for (std::uint64_t seed = 1; seed <= kSlotSeeds; ++seed) {
    INFO("seed " << seed);
    RequestSimulation simulation(seed);
    FakeFleet& fleet = simulation.m_fleet;
    for (auto& [id, endpoint] : fleet.m_endpoints) {
      endpoint.m_service_time = std::chrono::milliseconds(400);
    }
    FakeNode& first = StartTestNode(simulation, "n1");
    for (const char* name : {"n2", "n3", "n4", "n5"}) {
      StartTestNode(simulation, name);
    }
    RunFor(fleet.m_loop, std::chrono::seconds(6));
    SetTarget(fleet, first,
              ClassTarget{ClassId("quotes"), ClassKind::kRequest,
                          std::chrono::seconds(2)});
    RunFor(fleet.m_loop, std::chrono::seconds(5));
    for (int round = 0; round < kOverloadRounds; ++round) {
      // 40 slots at 400 ms per request serve 100 requests per second; 200
      // arrive.
      for (int index = 0; index < 600; ++index) {
        SendRandomRequest(simulation);
        RunFor(fleet.m_loop, std::chrono::milliseconds(5));
      }
      const auto serving_nodes = FindServingNodes(simulation);
      if (serving_nodes.size() < 2) continue;
      FakeNode& node = *serving_nodes[NextBelow(fleet.m_loop.m_random,
                                                serving_nodes.size())];
      const Settings settings = node.m_services->m_runtime.m_settings;
      const Duration span = DelayBetween(fleet.m_loop, std::chrono::seconds(5),
                                         std::chrono::seconds(25));
      switch (NextBelow(fleet.m_loop.m_random, 4)) {
        case 0:
          KillNode(node);
          AddNode(fleet, settings);
          break;
        case 1:
          PauseNode(fleet, node, span);
          break;
        case 2:
          // Without the store, the node may serve on its peers'
          // acknowledgements, and it has lost the link to one peer.
          node.m_store_unreachable_until = fleet.m_loop.m_now + span;
          BreakNodeLink(fleet, node,
                        serving_nodes[0] == &node ? *serving_nodes[1]
                                                  : *serving_nodes[0]);
          break;
        default:
          // A new process can use the address only after the old one has ended.
          StartNodeDrain(*node.m_services);
          RunUntilTrue(fleet.m_loop, std::chrono::seconds(90),
                       [&node] { return !node.m_is_alive; });
          KillNode(node);
          AddNode(fleet, settings);
          break;
      }
      if (Chance(fleet.m_loop, 0.3)) fleet.m_broken_node_links.clear();
    }
    CHECK(FindSlotViolation(fleet) == "");
    for (const auto& [id, endpoint] : fleet.m_endpoints) {
      most_in_use = std::max(most_in_use, endpoint.m_peak_in_use);
    }
  }
  // The load reached the limit of 8 slots.
  CHECK(most_in_use == 8);
}

// A node that loses its permission to serve has requests of 30 s in flight
// while the other nodes take over its slots. If those requests went on, the
// endpoints would exceed their slots.
TEST_CASE("Requests in flight end when a node loses its permission to serve",
          "[invariant]") {
  RequestSimulation simulation(17);
  FakeFleet& fleet = simulation.m_fleet;
  for (auto& [id, endpoint] : fleet.m_endpoints) {
    endpoint.m_service_time = std::chrono::seconds(30);
    endpoint.m_jitter = 0;
  }
  FakeNode& first = StartTestNode(simulation, "n1");
  FakeNode& second = StartTestNode(simulation, "n2");
  FakeNode& third = StartTestNode(simulation, "n3");
  RunFor(fleet.m_loop, std::chrono::seconds(8));
  SetTarget(fleet, first,
            ClassTarget{ClassId("quotes"), ClassKind::kRequest,
                        std::chrono::seconds(100)});
  RunFor(fleet.m_loop, std::chrono::seconds(3));
  const auto send = [&simulation](FakeNode& node) {
    HttpRequest request;
    request.m_body = "long-" + std::to_string(simulation.m_sent.size());
    request.m_headers.emplace_back(kClassHeader, "quotes");
    request.m_headers.emplace_back(kMemberHeader, "m");
    request.m_headers.emplace_back(kDeadlineHeader, "100000");
    simulation.m_sent.push_back(std::make_unique<SentRequest>());
    SendRequest(node, std::move(request), [](const HttpResponse&) {});
  };
  for (int index = 0; index < 30; ++index) send(first);
  first.m_store_unreachable_until =
      fleet.m_loop.m_now + std::chrono::minutes(2);
  BreakNodeLink(fleet, first, second);
  BreakNodeLink(fleet, first, third);
  for (int round = 0; round < 40; ++round) {
    RunFor(fleet.m_loop, std::chrono::milliseconds(500));
    for (int index = 0; index < 3; ++index) {
      send(second);
      send(third);
    }
  }
  CHECK(second.m_services->m_membership.m_table.m_members.m_members.size() ==
        2);
  CHECK(FindSlotViolation(fleet) == "");
}

TEST_CASE("A drain aborts no request in flight", "[invariant]") {
  RequestSimulation simulation(7);
  FakeFleet& fleet = simulation.m_fleet;
  FakeNode& first = StartTestNode(simulation, "n1");
  FakeNode& second = StartTestNode(simulation, "n2");
  RunFor(fleet.m_loop, std::chrono::seconds(8));
  SetTarget(fleet, first,
            ClassTarget{ClassId("quotes"), ClassKind::kRequest,
                        std::chrono::seconds(2)});
  RunFor(fleet.m_loop, std::chrono::seconds(3));
  SendRound(simulation);
  StartNodeDrain(*first.m_services);
  // The load balancer sends requests for a while until it notices the drain.
  SendRound(simulation);
  RunFor(fleet.m_loop, std::chrono::seconds(10));
  CHECK(!first.m_is_alive);
  CHECK(second.m_is_alive);
  for (const auto& sent : simulation.m_sent) {
    CHECK(sent->m_answers == 1);
    // The second use of an idempotency key is refused with a conflict.
    if (CheckAnswer(simulation, *sent) == "conflict") continue;
    CHECK(sent->m_answer.m_status == kStatusOk);
  }
  CHECK(FindSlotViolation(fleet) == "");
}

TEST_CASE("A leaving endpoint gets no new requests after 5 s", "[invariant]") {
  RequestSimulation simulation(11);
  FakeFleet& fleet = simulation.m_fleet;
  FakeNode& first = StartTestNode(simulation, "n1");
  StartTestNode(simulation, "n2");
  RunFor(fleet.m_loop, std::chrono::seconds(8));
  SetTarget(fleet, first,
            ClassTarget{ClassId("quotes"), ClassKind::kRequest,
                        std::chrono::seconds(2)});
  RunFor(fleet.m_loop, std::chrono::seconds(3));
  SendRound(simulation);
  FakeEndpoint& leaving = fleet.m_endpoints.begin()->second;
  CHECK(leaving.m_requests > 0);
  fleet.m_platform.m_hosts.m_endpoints[0].m_is_leaving = true;
  const TimePoint end = fleet.m_loop.m_now + std::chrono::seconds(5);
  while (fleet.m_loop.m_now < end) SendRound(simulation);
  const std::uint64_t before = leaving.m_requests;
  for (int round = 0; round < 5; ++round) SendRound(simulation);
  CHECK(leaving.m_requests == before);
}

TEST_CASE("Requests are served during a store outage of 5 minutes",
          "[invariant]") {
  RequestSimulation simulation(13);
  FakeFleet& fleet = simulation.m_fleet;
  FakeNode& first = StartTestNode(simulation, "n1");
  StartTestNode(simulation, "n2");
  StartTestNode(simulation, "n3");
  RunFor(fleet.m_loop, std::chrono::seconds(8));
  SetTarget(fleet, first,
            ClassTarget{ClassId("quotes"), ClassKind::kRequest,
                        std::chrono::seconds(2)});
  RunFor(fleet.m_loop, std::chrono::seconds(3));
  fleet.m_platform.m_outage_until =
      fleet.m_loop.m_now + std::chrono::minutes(5);
  while (fleet.m_loop.m_now < fleet.m_platform.m_outage_until) {
    SendRound(simulation);
    RunFor(fleet.m_loop, std::chrono::seconds(10));
  }
  for (const auto& sent : simulation.m_sent) {
    if (!sent->m_idempotency_key.empty()) continue;
    CHECK(sent->m_answer.m_status == kStatusOk);
  }
}

}  // namespace daisyarch
