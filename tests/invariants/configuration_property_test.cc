#include <catch2/catch.hpp>
#include <map>

#include "fakes/fake_fleet.h"

namespace daisyarch {

namespace {

constexpr std::uint64_t kSeeds = 40;
constexpr Duration kMaximumPropagationTime = std::chrono::seconds(10);

struct ConfigurationSimulation {
  explicit ConfigurationSimulation(std::uint64_t seed) : m_fleet(seed) {}

  FakeFleet m_fleet;
  std::map<const FakeNode*, ConfigurationVersion> m_versions_by_node;
  std::string m_violation;
  /// The latest version of the changes that succeeded.
  ConfigurationVersion m_latest_accepted;
  /// Numbers of the changes that succeeded, by the version that they got.
  std::map<ConfigurationVersion, std::int64_t> m_changes_by_version;
};

ConfigurationVersion VersionAt(const FakeNode& node) {
  return node.m_services->m_configuration.m_current.m_version;
}

void CheckMonotonic(ConfigurationSimulation& simulation) {
  for (const auto& node : simulation.m_fleet.m_nodes) {
    if (!node->m_is_alive) continue;
    ConfigurationVersion& seen = simulation.m_versions_by_node[node.get()];
    if (VersionAt(*node) < seen) simulation.m_violation = "a version decreased";
    seen = VersionAt(*node);
  }
}

void ChangeTarget(ConfigurationSimulation& simulation, FakeNode& node,
                  std::int64_t change_number) {
  ConfigurationChange change;
  change.m_id = "change-" + std::to_string(change_number);
  change.m_operator = "operator";
  change.m_body = SetClassTarget{
      ClassTarget{ClassId("c" + std::to_string(change_number % 3)),
                  ClassKind::kRequest, FromMilliseconds(1000 + change_number)}};
  ChangeConfiguration(
      node.m_services->m_configuration, change,
      [&simulation, change_number](const Result<Configuration>& result) {
        if (!result) return;
        const ConfigurationVersion version = result.assume_value().m_version;
        simulation.m_changes_by_version[version] = change_number;
        simulation.m_latest_accepted =
            std::max(simulation.m_latest_accepted, version);
      });
}

FakeNode& StartTestNode(ConfigurationSimulation& simulation,
                        const std::string& name, const std::string& domain) {
  return AddNode(simulation.m_fleet,
                 MakeTestSettings(name, domain, {"a", "b"}));
}

FakeNode& PickLiveNode(ConfigurationSimulation& simulation) {
  std::vector<FakeNode*> live_nodes;
  for (const auto& node : simulation.m_fleet.m_nodes) {
    if (node->m_is_alive) live_nodes.push_back(node.get());
  }
  return *live_nodes[NextBelow(simulation.m_fleet.m_loop.m_random,
                               live_nodes.size())];
}

bool IsInForceEverywhere(ConfigurationSimulation& simulation) {
  for (const auto& node : simulation.m_fleet.m_nodes) {
    if (node->m_is_alive && VersionAt(*node) < simulation.m_latest_accepted)
      return false;
  }
  return true;
}

// Checks that the audit trail has each successful change exactly once.
void CheckAudit(ConfigurationSimulation& simulation) {
  std::vector<AuditEntry> entries;
  bool is_read = false;
  ReadAudit(PickLiveNode(simulation).m_services->m_configuration, 1000,
            [&](const Result<std::vector<AuditEntry>>& result) {
              REQUIRE(result);
              entries = result.assume_value();
              is_read = true;
            });
  RunFor(simulation.m_fleet.m_loop, std::chrono::seconds(5));
  REQUIRE(is_read);
  std::map<std::string, int> count_by_id;
  for (const AuditEntry& entry : entries) ++count_by_id[entry.m_id];
  for (const auto& [id, count] : count_by_id) CHECK(count == 1);
  for (const auto& [version, change_number] : simulation.m_changes_by_version) {
    CHECK(count_by_id.count("change-" + std::to_string(change_number)) == 1);
  }
  CHECK(!entries.empty());
}

void RunSimulation(std::uint64_t seed) {
  INFO("seed " << seed);
  ConfigurationSimulation simulation(seed);
  FakeFleet& fleet = simulation.m_fleet;
  fleet.m_loop.m_check = [&simulation] { CheckMonotonic(simulation); };
  for (const char* name : {"n1", "n2", "n3"})
    StartTestNode(simulation, name, "a");
  for (const char* name : {"n4", "n5"}) StartTestNode(simulation, name, "b");
  RunFor(fleet.m_loop, std::chrono::seconds(8));
  std::int64_t number = 0;
  for (int round = 0; round < 20; ++round) {
    fleet.m_platform.m_answer_loss_probability = 0.1;
    fleet.m_platform.m_late_effect_probability = 0.05;
    // Two operators make a change each at the same time, at random nodes.
    ChangeTarget(simulation, PickLiveNode(simulation), ++number);
    ChangeTarget(simulation, PickLiveNode(simulation), ++number);
    RunFor(fleet.m_loop, std::chrono::seconds(2));
    if (Chance(fleet.m_loop, 0.2)) {
      FakeNode& node = PickLiveNode(simulation);
      const Settings settings = node.m_services->m_runtime.m_settings;
      KillNode(node);
      AddNode(fleet, settings);
    }
    if (Chance(fleet.m_loop, 0.2)) {
      fleet.m_platform.m_outage_until =
          fleet.m_loop.m_now + std::chrono::seconds(15);
    }
    RunFor(fleet.m_loop, std::chrono::seconds(1));
  }
  fleet.m_platform.m_answer_loss_probability = 0;
  fleet.m_platform.m_late_effect_probability = 0;
  // Time for an outage to end, and for a node that restarted during it to join.
  RunFor(fleet.m_loop, std::chrono::seconds(40));
  for (int round = 0; round < 5; ++round) {
    ChangeTarget(simulation, PickLiveNode(simulation), ++number);
    RunFor(fleet.m_loop, kMaximumPropagationTime);
    CHECK(IsInForceEverywhere(simulation));
  }
  CHECK(simulation.m_violation == "");
  CHECK(simulation.m_latest_accepted > ConfigurationVersion(5));
  CheckAudit(simulation);
}

}  // namespace

TEST_CASE(
    "An accepted configuration is in force everywhere within 10 s and never "
    "reverts",
    "[invariant]") {
  for (std::uint64_t seed = 1; seed <= kSeeds; ++seed) RunSimulation(seed);
}

TEST_CASE(
    "A node that restarts during a store outage gets its peers' configuration",
    "[invariant]") {
  ConfigurationSimulation simulation(3);
  FakeFleet& fleet = simulation.m_fleet;
  FakeNode& first = StartTestNode(simulation, "n1", "a");
  StartTestNode(simulation, "n2", "a");
  FakeNode& third = StartTestNode(simulation, "n3", "b");
  RunFor(fleet.m_loop, std::chrono::seconds(8));
  ChangeTarget(simulation, first, 1);
  RunFor(fleet.m_loop, std::chrono::seconds(5));
  REQUIRE(simulation.m_latest_accepted == ConfigurationVersion(1));
  fleet.m_platform.m_outage_until =
      fleet.m_loop.m_now + std::chrono::minutes(3);
  Settings settings = third.m_services->m_runtime.m_settings;
  settings.m_peers = {first.m_services->m_runtime.m_settings.m_mesh_address};
  KillNode(third);
  FakeNode& again = AddNode(fleet, settings);
  RunFor(fleet.m_loop, kMaximumPropagationTime);
  CHECK(VersionAt(again) == ConfigurationVersion(1));
}

}  // namespace daisyarch
