#include "settings/settings.h"

#include <catch2/catch.hpp>
#include <filesystem>

namespace daisyarch {

namespace {

const char* const kValidSettings = R"(node: {id: n1, failure_domain: north}
listen:
  http: 127.0.0.1:7000
  mesh: 127.0.0.1:7001
platform: {address: "127.0.0.1:7100"}
workers:
  failure_domains: [north, south]
  partitions_per_failure_domain: 2
timing:
  worker_lease_ms: 30000
)";

std::string Replace(const std::string& from, const std::string& to) {
  std::string text = kValidSettings;
  return text.replace(text.find(from), from.size(), to);
}

// Returns the error's peer (file and line) and detail, or "" if the text is
// valid.
std::string ParseError(const std::string& text) {
  const auto settings = ParseSettings(text, "n1.yaml");
  if (settings) return "";
  return settings.assume_error().m_peer + " " +
         settings.assume_error().m_detail;
}

}  // namespace

TEST_CASE("Valid settings are parsed") {
  const auto settings = ParseSettings(kValidSettings, "n1.yaml");
  REQUIRE(settings);
  CHECK(settings.assume_value().m_node == NodeId("n1"));
  CHECK(settings.assume_value().m_worker_lease == std::chrono::seconds(30));
  CHECK(PartitionsOf(settings.assume_value()).size() == 4);
}

TEST_CASE("Each kind of settings error is reported with file, line and key") {
  CHECK(ParseError(Replace("timing:", "timings:")) ==
        "n1.yaml:9 timings: unknown key");
  CHECK(ParseError(Replace("{id: n1, failure_domain: north}", "{id: n1}")) ==
        "n1.yaml:1 node.failure_domain: missing required key");
  CHECK(ParseError(Replace("  http: 127.0.0.1:7000\n", "")) ==
        "n1.yaml:3 listen.http: missing required key; expected IP:port");
  CHECK(ParseError(Replace("127.0.0.1:7000", "localhost")) ==
        "n1.yaml:3 listen.http: expected IP:port");
  CHECK(ParseError(Replace("127.0.0.1:7000", "127.0.0.1:70000")) ==
        "n1.yaml:3 listen.http: expected IP:port");
  CHECK(ParseError(Replace("30000", "30s")) ==
        "n1.yaml:10 timing.worker_lease_ms: expected a whole number from 2000 "
        "to 120000");
  CHECK(ParseError(Replace("30000", "1")) ==
        "n1.yaml:10 timing.worker_lease_ms: expected a whole number from 2000 "
        "to 120000");
  CHECK(ParseError(Replace("[north, south]", "[north, north]")) ==
        "n1.yaml:7 workers.failure_domains: \"north\" is a duplicate");
  CHECK(ParseError(Replace("listen:", "node: {}\nlisten:")) ==
        "n1.yaml:2 node: duplicate key");
  CHECK(ParseError(Replace("n1,", "\"n 1\",")).find("n1.yaml:1 node.id:") == 0);
  CHECK(ParseError("node: [").find("n1.yaml:") == 0);
  CHECK(ParseError("").find("n1.yaml:") == 0);
}

TEST_CASE("The example settings are valid") {
  std::size_t examples = 0;
  for (const auto& entry :
       std::filesystem::directory_iterator(DAISYARCH_EXAMPLES)) {
    if (entry.path().extension() != ".yaml") continue;
    ++examples;
    const auto settings = LoadSettings(entry.path().string());
    INFO(entry.path().filename().string());
    if (!settings) FAIL(ToString(settings.assume_error()));
  }
  CHECK(examples == 2);
}

}  // namespace daisyarch
