#include "decisions/configuration/configuration_change.h"

#include <catch2/catch.hpp>

namespace daisyarch {

namespace {

ConfigurationChange MakeChange(const std::string& class_name, std::int64_t keep,
                               std::uint64_t seen) {
  ConfigurationChange change;
  change.m_operator = "alice";
  change.m_seen_version = ConfigurationVersion(seen);
  ClassTarget target;
  target.m_class = ClassId(class_name);
  target.m_within = std::chrono::milliseconds(500);
  target.m_keep_percent = keep;
  change.m_body = SetClassTarget{target};
  return change;
}

Configuration Apply(const Configuration& from,
                    const ConfigurationChange& change) {
  const auto next = ApplyChange(from, change);
  REQUIRE(next);
  return next.assume_value();
}

}  // namespace

TEST_CASE("A change raises the version by one and carries its audit entry") {
  const Configuration first = Apply({}, MakeChange("quotes", 40, 0));
  const Configuration second = Apply(first, MakeChange("quotes", 60, 1));
  CHECK(second.m_version == ConfigurationVersion(2));
  CHECK(second.m_change.m_operator == "alice");
  CHECK(second.m_change.m_field == "classes.quotes");
  CHECK(second.m_change.m_before.find("keep 40%") != std::string::npos);
  CHECK(second.m_change.m_after.find("keep 60%") != std::string::npos);
}

TEST_CASE(
    "A conflicting change is refused with the winner's version and field") {
  const Configuration first = Apply({}, MakeChange("quotes", 40, 0));
  const Configuration second = Apply(first, MakeChange("quotes", 50, 1));
  const auto loser = ApplyChange(second, MakeChange("quotes", 60, 1));
  REQUIRE(!loser);
  CHECK(loser.assume_error().m_code == ErrorCode::kConflict);
  CHECK(loser.assume_error().m_detail.find("version 2") != std::string::npos);
  CHECK(loser.assume_error().m_detail.find("classes.quotes") !=
        std::string::npos);
  // A change of another field does not conflict with the last change.
  CHECK(ApplyChange(second, MakeChange("reports", 10, 1)));
}

TEST_CASE("Targets that cannot be met together are refused") {
  const Configuration first = Apply({}, MakeChange("quotes", 70, 0));
  const auto refused = ApplyChange(first, MakeChange("reports", 40, 0));
  REQUIRE(!refused);
  CHECK(refused.assume_error().m_detail.find("110 percent") !=
        std::string::npos);
}

TEST_CASE("A node never adopts an older or equal version") {
  CHECK(DecideVersion(ConfigurationVersion(3), ConfigurationVersion(2)) ==
        VersionDecision::kKeep);
  CHECK(DecideVersion(ConfigurationVersion(3), ConfigurationVersion(3)) ==
        VersionDecision::kKeep);
  CHECK(DecideVersion(ConfigurationVersion(3), ConfigurationVersion(4)) ==
        VersionDecision::kAdopt);
}

}  // namespace daisyarch
