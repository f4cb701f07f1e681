#include "settings/site_settings.h"

#include <catch2/catch.hpp>

namespace daisyarch {

namespace {

const std::string kValidSettings = R"(node: "n1"
failure_domain: "a"
charts: "charts"
processor_share: 0.1
far_factor: 1.5
listen: {callers: "10.0.0.1:1", ready: "10.0.0.1:2", metrics: "10.0.0.1:3"}
store: {address: "10.0.0.9:8169", lease_minimum_ms: 1000}
timing: {worker_lease_maximum_ms: 10000, stop_grace_s: 6,
  state_retention_s: 120, harm_ms: 4000, leaving_ms: 2000}
limits: {memory_mb: 260, descriptors: 4100}
)";

std::string WithReplaced(std::string text, const std::string& from,
                         const std::string& to) {
  return text.replace(text.find(from), from.size(), to);
}

// Returns the error's peer (file and line) and detail after `from` is replaced
// by `to` in the valid settings, or "" if the result is valid.
std::string ErrorAfterReplacing(const std::string& from,
                                const std::string& to) {
  const auto settings =
      ParseSiteSettings(WithReplaced(kValidSettings, from, to), "site.yaml");
  if (settings) return "";
  return settings.assume_error().m_peer + " " +
         settings.assume_error().m_detail;
}

}  // namespace

TEST_CASE("Site settings are parsed with their units") {
  const auto settings = ParseSiteSettings(kValidSettings, "site.yaml");
  REQUIRE(settings);
  CHECK(settings.assume_value().m_node == NodeId("n1"));
  CHECK(settings.assume_value().m_stop_grace_period == std::chrono::seconds(6));
  CHECK(settings.assume_value().m_store_lease_minimum ==
        std::chrono::seconds(1));
  CHECK_FALSE(settings.assume_value().m_evacuation_period);
  std::string text = kValidSettings;
  text.replace(text.find('}', text.find("timing:")), 1,
               ", evacuation_ms: 5000}");
  const auto evacuating = ParseSiteSettings(text, "site.yaml");
  REQUIRE(evacuating);
  CHECK(evacuating.assume_value().m_evacuation_period ==
        std::chrono::seconds(5));
  CHECK(settings.assume_value().m_memory_bytes == 260UL * 1024 * 1024);
  CHECK(settings.assume_value().m_maximum_descriptors == 4100);
}

TEST_CASE("Without limits, site settings have defaults for them") {
  std::string text = kValidSettings;
  text.erase(text.find("limits:"));
  const auto settings = ParseSiteSettings(text, "site.yaml");
  REQUIRE(settings);
  CHECK(settings.assume_value().m_memory_bytes == 256UL * 1024 * 1024);
  CHECK(settings.assume_value().m_maximum_descriptors == 4096);
}

// Guards against a node that does not start on a platform that fills in only
// the placeholders of an earlier version.
TEST_CASE("An optional setting that is not filled in counts as left out") {
  std::string text = kValidSettings;
  text = WithReplaced(text, "metrics: \"10.0.0.1:3\"",
                      "metrics: \"10.0.0.1:3\", relay: \"10.0.0.1:{{port}}\"");
  text = WithReplaced(text, "leaving_ms: 2000",
                      "leaving_ms: 2000, evacuation_ms: \"{{evacuate}}\"");
  text = WithReplaced(text, "{memory_mb: 260, descriptors: 4100}",
                      "\n  memory_mb: {{memory}}\n  descriptors: {{fds}}");
  const auto settings = ParseSiteSettings(text, "site.yaml");
  REQUIRE(settings);
  const SiteSettings& read = settings.assume_value();
  CHECK(read.m_relay_address.m_port == 0);
  CHECK_FALSE(read.m_evacuation_period);
  CHECK(read.m_memory_bytes == SiteSettings().m_memory_bytes);
  CHECK(read.m_maximum_descriptors == SiteSettings().m_maximum_descriptors);
  CHECK(read.m_unfilled_keys ==
        std::vector<std::string>{"listen.relay", "timing.evacuation_ms",
                                 "limits.memory_mb", "limits.descriptors"});
}

TEST_CASE("A required setting that is not filled in is an error") {
  CHECK(ErrorAfterReplacing("\"n1\"", "\"{{node}}\"") ==
        "site.yaml:1 node: the placeholder is not filled in");
  CHECK(ErrorAfterReplacing("0.1", "{{cpu}}") ==
        "site.yaml:4 processor_share: the placeholder is not filled in");
  CHECK(ErrorAfterReplacing("10.0.0.1:1", "{{ip}}:1") ==
        "site.yaml:6 callers: the placeholder is not filled in");
}

TEST_CASE("An error in site settings names the line and the key") {
  CHECK(ErrorAfterReplacing("node: \"n1\"", "node: \"\"") ==
        "site.yaml:1 node: expected non-empty text");
  CHECK(ErrorAfterReplacing("far_factor", "fare_factor") ==
        "site.yaml:5 fare_factor: unknown key");
  CHECK(ErrorAfterReplacing("\"10.0.0.9:8169\"", "store") ==
        "site.yaml:7 address: expected IP:port");
  CHECK(ErrorAfterReplacing("stop_grace_s: 6", "stop_grace_s: -6") ==
        "site.yaml:8 stop_grace_s: expected a number above 0");
  CHECK(ErrorAfterReplacing("store:", "node:") ==
        "site.yaml:7 node: duplicate key");
  CHECK(ErrorAfterReplacing("memory_mb: 260", "memory_mb: 20") ==
        "site.yaml:10 memory_mb: expected a whole number from 48");
  CHECK(ErrorAfterReplacing("descriptors: 4100", "descriptors: 400.5") ==
        "site.yaml:10 descriptors: expected a whole number from 320");
  CHECK(ErrorAfterReplacing("memory_mb", "memory") ==
        "site.yaml:10 memory: unknown key");
}

}  // namespace daisyarch
