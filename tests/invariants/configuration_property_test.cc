#include <catch2/catch.hpp>
#include <map>

#include "fakes/fake_fleet.h"

namespace daisyarch {

namespace {

constexpr std::uint64_t kSeeds = 40;
constexpr Duration kInForceWithin = std::chrono::seconds(10);

struct ConfigurationWorld {
  explicit ConfigurationWorld(std::uint64_t seed) : m_fleet(seed) {}

  FakeFleet m_fleet;
  std::map<const FakeNode*, ConfigurationVersion> m_seen_version;
  std::string m_violation;
  ConfigurationVersion m_accepted;  ///< The latest that an operator was told.
  /// Values by change that an operator was told of.
  std::map<ConfigurationVersion, std::int64_t> m_told;
};

ConfigurationVersion VersionAt(const FakeNode& node) {
  return node.m_services->m_configuration.m_current.m_version;
}

void CheckMonotonic(ConfigurationWorld& world) {
  for (const auto& node : world.m_fleet.m_nodes) {
    if (!node->m_is_alive) continue;
    ConfigurationVersion& seen = world.m_seen_version[node.get()];
    if (VersionAt(*node) < seen) world.m_violation = "a version went down";
    seen = VersionAt(*node);
  }
}

void ChangeAt(ConfigurationWorld& world, FakeNode& node, std::int64_t keep) {
  ConfigurationChange change;
  change.m_id = "change-" + std::to_string(keep);
  change.m_operator = "operator";
  change.m_body = SetClassTarget{
      ClassTarget{ClassId("c" + std::to_string(keep % 3)), ClassKind::kRequest,
                  FromMilliseconds(1000 + keep)}};
  ChangeConfiguration(node.m_services->m_configuration, change,
                      [&world, keep](const Result<Configuration>& result) {
                        if (!result) return;
                        const ConfigurationVersion version =
                            result.assume_value().m_version;
                        world.m_told[version] = keep;
                        world.m_accepted = std::max(world.m_accepted, version);
                      });
}

FakeNode& StartTestNode(ConfigurationWorld& world, const std::string& name,
                        const std::string& domain) {
  return AddNode(world.m_fleet, MakeTestSettings(name, domain, {"a", "b"}));
}

FakeNode& AnyLiving(ConfigurationWorld& world) {
  std::vector<FakeNode*> living;
  for (const auto& node : world.m_fleet.m_nodes) {
    if (node->m_is_alive) living.push_back(node.get());
  }
  return *living[NextBelow(world.m_fleet.m_loop.m_random, living.size())];
}

bool IsInForceEverywhere(ConfigurationWorld& world) {
  for (const auto& node : world.m_fleet.m_nodes) {
    if (node->m_is_alive && VersionAt(*node) < world.m_accepted) return false;
  }
  return true;
}

// Each change that an operator was told of stands in the audit trail, once.
void CheckAudit(ConfigurationWorld& world) {
  std::vector<AuditEntry> entries;
  bool is_read = false;
  ReadAudit(AnyLiving(world).m_services->m_configuration, 1000,
            [&](const Result<std::vector<AuditEntry>>& result) {
              REQUIRE(result);
              entries = result.assume_value();
              is_read = true;
            });
  RunFor(world.m_fleet.m_loop, std::chrono::seconds(5));
  REQUIRE(is_read);
  std::map<std::string, int> by_id;
  for (const AuditEntry& entry : entries) ++by_id[entry.m_id];
  for (const auto& [id, count] : by_id) CHECK(count == 1);
  for (const auto& [version, keep] : world.m_told) {
    CHECK(by_id.count("change-" + std::to_string(keep)) == 1);
  }
  CHECK(!entries.empty());
}

void RunWorld(std::uint64_t seed) {
  INFO("seed " << seed);
  ConfigurationWorld world(seed);
  FakeFleet& fleet = world.m_fleet;
  fleet.m_loop.m_check = [&world] { CheckMonotonic(world); };
  for (const char* name : {"n1", "n2", "n3"}) StartTestNode(world, name, "a");
  for (const char* name : {"n4", "n5"}) StartTestNode(world, name, "b");
  RunFor(fleet.m_loop, std::chrono::seconds(8));
  std::int64_t number = 0;
  for (int round = 0; round < 20; ++round) {
    fleet.m_platform.m_lose_answer = 0.1;
    fleet.m_platform.m_apply_late = 0.05;
    // Two operators race each other, at any nodes.
    ChangeAt(world, AnyLiving(world), ++number);
    ChangeAt(world, AnyLiving(world), ++number);
    RunFor(fleet.m_loop, std::chrono::seconds(2));
    if (Chance(fleet.m_loop, 0.2)) {
      FakeNode& node = AnyLiving(world);
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
  fleet.m_platform.m_lose_answer = 0;
  fleet.m_platform.m_apply_late = 0;
  // An outage and the join of a node restarted in it come first.
  RunFor(fleet.m_loop, std::chrono::seconds(40));
  for (int round = 0; round < 5; ++round) {
    ChangeAt(world, AnyLiving(world), ++number);
    RunFor(fleet.m_loop, kInForceWithin);
    CHECK(IsInForceEverywhere(world));
  }
  CHECK(world.m_violation == "");
  CHECK(world.m_accepted > ConfigurationVersion(5));
  CheckAudit(world);
}

}  // namespace

TEST_CASE(
    "An accepted configuration is in force everywhere within 10 s and never "
    "reverts",
    "[invariant]") {
  for (std::uint64_t seed = 1; seed <= kSeeds; ++seed) RunWorld(seed);
}

TEST_CASE("A node restarted during an outage learns the version of its peers",
          "[invariant]") {
  ConfigurationWorld world(3);
  FakeFleet& fleet = world.m_fleet;
  FakeNode& first = StartTestNode(world, "n1", "a");
  StartTestNode(world, "n2", "a");
  FakeNode& third = StartTestNode(world, "n3", "b");
  RunFor(fleet.m_loop, std::chrono::seconds(8));
  ChangeAt(world, first, 1);
  RunFor(fleet.m_loop, std::chrono::seconds(5));
  REQUIRE(world.m_accepted == ConfigurationVersion(1));
  fleet.m_platform.m_outage_until =
      fleet.m_loop.m_now + std::chrono::minutes(3);
  Settings settings = third.m_services->m_runtime.m_settings;
  settings.m_peers = {first.m_services->m_runtime.m_settings.m_mesh_address};
  KillNode(third);
  FakeNode& again = AddNode(fleet, settings);
  RunFor(fleet.m_loop, kInForceWithin);
  CHECK(VersionAt(again) == ConfigurationVersion(1));
}

}  // namespace daisyarch
