#include <catch2/catch.hpp>
#include <cstdlib>
#include <functional>

#include "base/random.h"
#include "configuration.h"
#include "decisions/fleet/fleet_fixture.h"
#include "fakes/fake_site.h"
#include "job_messages.h"
#include "json_document.h"
#include "listing.h"
#include "settings/site_settings.h"
#include "wire/fleet_fields.h"
#include "wire/json.h"
#include "worker_http.h"

namespace daisyarch::adapter {

namespace {

// In CI some seconds; longer with DAISYARCH_SOAK_SEEDS.
constexpr std::uint64_t kSeedsInCi = 400;

const char* const kReport =
    R"({"clock_ms":482113,"born":5,)"
    R"("running":[["5c0e7a21d94b36f8.0.1.17",2,"c",41,700]],)"
    R"("finished":[[58,"5c0e7a21d94b36f8.0.1.9",1,"done",""]]})";
const char* const kEntry =
    R"({"service":"pool","addr":"10.128.0.9:8080","zone":"z-a","version":"v1",)"
    R"("slots":8,"state":"ready","cold_left_ms":0,"capacity":{"cpu":16000,)"
    R"("mem_mb":32768,"gpu":0},"labels":["a","r1-3"],"clock_ms":1,"seq":4})";
const char* const kConfiguration =
    R"({"version":7,"routes":[{"name":"r-1","host":"a.example",)"
    R"("prefix":"/a/","kind":"non_idempotent","timeout_ms":3000,)"
    R"("target_duration_ms":2500,"priority":0,"service":"pool",)"
    R"("max_attempts":3,"stretch":2.2}],"services":[{"name":"pool",)"
    R"("enforces_capacity":false}],"limits":{"max_body_bytes":262144}})";
const char* const kJob =
    R"({"spec":"text","steps":[{"count":4,"cpu":500,"mem_mb":256,)"
    R"("est_ms":900,"affinity":"r1-3"},{"count":20,"cpu":2000,"mem_mb":1024,)"
    R"("est_ms":7000,"after":[0],"saves_progress":true}]})";

// What a field or an element of a list is replaced by.
const char* const kOddValues[] = {"null",
                                  "true",
                                  "-1",
                                  "0",
                                  "1.5",
                                  "1e400",
                                  "-1e300",
                                  "9223372036854775807",
                                  "9223372036854775808",
                                  "18446744073709551615",
                                  "18446744073709551616",
                                  "\"\"",
                                  "\"\\u0000\"",
                                  "\"\\ud800\"",
                                  "\"\xff\xfe\"",
                                  "[]",
                                  "{}",
                                  "[[[[]]]]",
                                  "{\"a\":{\"a\":{}}}"};

std::string PickOddValue(Random& random) {
  return kOddValues[NextBelow(random, std::size(kOddValues))];
}

// Returns the end of the value that begins at `begin`, as far as it is
// simple.
std::size_t EndOfValue(const std::string& text, std::size_t begin) {
  if (begin < text.size() && text[begin] == '"') {
    const std::size_t end = text.find('"', begin + 1);
    return end == std::string::npos ? text.size() : end + 1;
  }
  return std::min(text.size(), text.find_first_of(",]}", begin));
}

// Replaces one value after a colon, a comma or a bracket.
std::string ReplaceValue(std::string text, Random& random) {
  const std::size_t from = NextBelow(random, text.size());
  const std::size_t before = text.find_first_of(":,[", from);
  if (before == std::string::npos) return text;
  const std::size_t end = EndOfValue(text, before + 1);
  return text.replace(before + 1, end - before - 1, PickOddValue(random));
}

std::string RepeatPart(const std::string& text, Random& random) {
  const std::size_t begin = NextBelow(random, text.size());
  const std::size_t length = NextBelow(random, text.size() - begin) + 1;
  return text.substr(0, begin + length) + text.substr(begin);
}

std::string RemovePart(std::string text, Random& random) {
  const std::size_t begin = NextBelow(random, text.size());
  return text.erase(begin, NextBelow(random, 40) + 1);
}

std::string ChangeByte(std::string text, Random& random) {
  text[NextBelow(random, text.size())] =
      static_cast<char>(NextBelow(random, 256));
  return text;
}

std::string NestDeeply(const std::string& text, Random& random) {
  const std::size_t depth = NextBelow(random, 200000) + 1;
  const char open = NextBelow(random, 2) == 0 ? '[' : '{';
  const std::size_t at = NextBelow(random, text.size());
  std::string nested = text;
  std::string opening;
  for (std::size_t level = 0; level < depth; ++level) {
    opening += open == '[' ? "[" : "{\"a\":";
  }
  return nested.insert(at, opening);
}

std::string Distort(const std::string& text, Random& random) {
  if (text.empty()) return text;
  switch (NextBelow(random, 6)) {
    case 0:
      return text.substr(0, NextBelow(random, text.size()));
    case 1:
      return RepeatPart(text, random);
    case 2:
      return RemovePart(text, random);
    case 3:
      return ChangeByte(text, random);
    case 4:
      return NestDeeply(text, random);
    default:
      return ReplaceValue(text, random);
  }
}

// Calls `read` with the text distorted in one to three ways, for each seed.
void ReadDistorted(const std::string& text,
                   const std::function<void(const std::string&)>& read) {
  const std::uint64_t first = fleet::FirstSeed();
  const std::uint64_t count = fleet::SeedCount(kSeedsInCi);
  for (std::uint64_t seed = first; seed < first + count; ++seed) {
    Random random{seed};
    std::string distorted = text;
    const std::uint64_t ways = 1 + NextBelow(random, 3);
    for (std::uint64_t way = 0; way < ways; ++way) {
      distorted = Distort(distorted, random);
    }
    INFO("seed " << seed << ": " << distorted.substr(0, 400));
    CHECK_NOTHROW(read(distorted));
  }
}

template <typename Value>
void CheckError(const Result<Value>& result) {
  if (result) return;
  CHECK(result.assume_error().m_code == ErrorCode::kInvalidArgument);
  CHECK_FALSE(result.assume_error().m_detail.empty());
}

}  // namespace

TEST_CASE("Distorted reports of workers are read or rejected") {
  ReadDistorted(kReport, [](const std::string& text) {
    CheckError(ReadReport(text, WorkerId("w0")));
  });
}

// Guards against an odd entry that hides or changes the entries beside it.
TEST_CASE("Distorted entries of workers leave the others as they are") {
  const StoredItem sound{kWorkerPrefix + "sound", kEntry, StoreRevision(1)};
  ReadDistorted(kEntry, [&sound](const std::string& text) {
    const StoredItem odd{kWorkerPrefix + "odd", text, StoreRevision(2)};
    const auto workers = ReadWorkers({odd, sound});
    REQUIRE(!workers.empty());
    CHECK(workers.back().m_worker == WorkerId("sound"));
    CHECK(workers.back().m_capacity.m_processors == Millicores(16000));
  });
}

TEST_CASE("Distorted configurations are read or rejected") {
  ReadDistorted(kConfiguration, [](const std::string& text) {
    CheckError(ReadConfiguration(text));
  });
}

TEST_CASE("Distorted submissions are read or rejected") {
  ReadDistorted(kJob, [](const std::string& text) {
    CheckError(ReadJob(JobKey("5c0e7a21d94b36f8"), text));
  });
}

TEST_CASE("Distorted records in the store are read or rejected") {
  fleet::JobProgress progress;
  progress.m_tasks.resize(2);
  progress.m_tasks[0].m_checkpoint = "c";
  fleet::LearnedEffects learned;
  learned.m_pairs.push_back({ImageId("a"), ImageId("b"), {1.0, 2.0}});
  const fleet::JobPlan plan = fleet::MakePlan("job", 3, Millicores(1000));
  ReadDistorted(WriteCbor(Encode(progress)), [](const std::string& bytes) {
    CheckError(DecodeCbor<fleet::JobProgress>(bytes, "read", "key"));
  });
  ReadDistorted(WriteCbor(Encode(learned)), [](const std::string& bytes) {
    CheckError(DecodeCbor<fleet::LearnedEffects>(bytes, "read", "key"));
  });
  ReadDistorted(WriteCbor(Encode(plan)), [](const std::string& bytes) {
    CheckError(DecodeCbor<fleet::JobPlan>(bytes, "read", "key"));
  });
}

TEST_CASE("Distorted settings are read or rejected") {
  const std::string settings = R"(node: "n1"
failure_domain: "a"
charts: "charts"
processor_share: 0.1
far_factor: 1.5
listen: {callers: "10.0.0.1:1", ready: "10.0.0.1:2", metrics: "10.0.0.1:3"}
store: {address: "10.0.0.9:8169", lease_minimum_ms: 1000}
timing: {worker_lease_maximum_ms: 10000, stop_grace_s: 6,
  state_retention_s: 120, harm_ms: 4000, leaving_ms: 2000}
)";
  ReadDistorted(settings, [](const std::string& text) {
    CheckError(ParseSiteSettings(text, "site.yaml"));
  });
}

TEST_CASE("Distorted messages of the store are read or rejected") {
  ReadDistorted(R"({"items":[{"key":"a","value":"Yg==","rev":7}],"as_of":9})",
                [](const std::string& text) {
                  CheckError(JsonDocument::Parse(text, "read", "store"));
                });
}

}  // namespace daisyarch::adapter
