#include "listing.h"

#include <catch2/catch.hpp>
#include <utility>

#include "decisions/fleet/fleet_fixture.h"

namespace daisyarch::adapter {

namespace {

using Fields = std::vector<std::pair<std::string, std::string>>;

// The fields of a worker's entry as JSON text, since some numbers of the tests
// have no other representation.
const Fields kSoundFields = {
    {"service", R"("pool")"},
    {"addr", R"("10.128.0.9:8080")"},
    {"zone", R"("bc-south-a")"},
    {"version", R"("v1")"},
    {"slots", "8"},
    {"state", R"("ready")"},
    {"cold_left_ms", "0"},
    {"capacity", R"({"cpu":16000,"mem_mb":32768,"gpu":0})"},
    {"labels", R"(["a","r1-3"])"},
    {"clock_ms", "482113"},
    {"born", "1"},
    {"seq", "4"}};

std::string TextOf(const Fields& fields) {
  std::string text = "{";
  for (const auto& [name, value] : fields) {
    if (text.size() > 1) text += ",";
    text.append("\"").append(name).append("\":").append(value);
  }
  return text + "}";
}

std::string SoundEntry() { return TextOf(kSoundFields); }

std::string EntryWithout(const std::string& name) {
  Fields fields;
  for (const auto& field : kSoundFields) {
    if (field.first != name) fields.push_back(field);
  }
  return TextOf(fields);
}

std::string EntryWith(const std::string& name, const std::string& value) {
  Fields fields = kSoundFields;
  for (auto& field : fields) {
    if (field.first == name) field.second = value;
  }
  return TextOf(fields);
}

std::string Nested(const std::string& open, const std::string& close,
                   std::size_t depth) {
  std::string text;
  for (std::size_t level = 0; level < depth; ++level) text += open;
  text += "1";
  for (std::size_t level = 0; level < depth; ++level) text += close;
  return text;
}

constexpr std::size_t kLargeDepth = 100'000;

std::vector<std::string> OddTexts() {
  const std::string sound = SoundEntry();
  return {"",
          "null",
          "7",
          "\"text\"",
          "[]",
          "{}",
          "{",
          "not json",
          std::string("\0\0", 2),
          "\xff\xfe",
          sound.substr(0, sound.size() / 2),
          sound + sound,
          "[" + sound + "]",
          Nested("[", "]", kLargeDepth),
          Nested(R"({"a":)", "}", kLargeDepth),
          std::string(kLargeDepth, '['),
          std::string(kLargeDepth, '{'),
          EntryWith("seq", "1e999"),
          EntryWith("labels", Nested("[", "]", kLargeDepth)),
          EntryWith("capacity", Nested(R"({"cpu":)", "}", kLargeDepth)),
          EntryWith("zone", "\"\xc3\x28\"")};
}

std::vector<std::string> EntriesWithMissingFields() {
  std::vector<std::string> entries;
  for (const char* name :
       {"service", "addr", "zone", "version", "slots", "state", "cold_left_ms",
        "capacity", "labels", "seq"}) {
    entries.push_back(EntryWithout(name));
  }
  for (const char* capacity :
       {"{}", R"({"mem_mb":1,"gpu":0})", R"({"cpu":1,"gpu":0})",
        R"({"cpu":1,"mem_mb":1})"}) {
    entries.push_back(EntryWith("capacity", capacity));
  }
  return entries;
}

std::vector<std::string> EntriesWithOtherTypes() {
  std::vector<std::string> entries;
  for (const char* name : {"service", "addr", "zone", "version", "state"}) {
    for (const char* value : {"7", "null", "true", "[]", "{}", "[\"ready\"]"}) {
      entries.push_back(EntryWith(name, value));
    }
  }
  for (const char* name : {"slots", "seq", "born"}) {
    for (const char* value : {R"("8")", "null", "true", "[]", "{}", "1.5"}) {
      entries.push_back(EntryWith(name, value));
    }
  }
  for (const char* name : {"cold_left_ms", "clock_ms"}) {
    for (const char* value : {R"("8")", "null", "true", "[]", "{}"}) {
      entries.push_back(EntryWith(name, value));
    }
  }
  for (const char* value : {"7", "null", "[]", R"("16000")",
                            R"({"cpu":"16000","mem_mb":32768,"gpu":0})",
                            R"({"cpu":16000,"mem_mb":[],"gpu":0})",
                            R"({"cpu":16000,"mem_mb":32768,"gpu":"0"})",
                            R"({"cpu":16000,"mem_mb":32768,"gpu":null})",
                            R"({"cpu":16000.5,"mem_mb":32768,"gpu":0})"}) {
    entries.push_back(EntryWith("capacity", value));
  }
  for (const char* value : {"7", "null", R"("a")", "{}", "[7]", R"(["a",null])",
                            R"(["a",["r1-3"]])"}) {
    entries.push_back(EntryWith("labels", value));
  }
  for (const char* value : {R"("")", R"("odd")", R"("READY")"}) {
    entries.push_back(EntryWith("state", value));
  }
  entries.push_back(EntryWith("service", R"("")"));
  entries.push_back(EntryWith("zone", R"("")"));
  return entries;
}

std::vector<std::string> EntriesOutOfRange() {
  std::vector<std::string> entries;
  for (const char* value :
       {"-1", "-9223372036854775808", "9223372036854775807",
        "18446744073709551615", "18446744073709551616", "1e18", "1e400"}) {
    for (const char* name :
         {"slots", "cold_left_ms", "clock_ms", "born", "seq"}) {
      entries.push_back(EntryWith(name, value));
    }
    const std::string number = value;
    entries.push_back(EntryWith(
        "capacity", "{\"cpu\":" + number + ",\"mem_mb\":1,\"gpu\":0}"));
    entries.push_back(EntryWith(
        "capacity", "{\"cpu\":1,\"mem_mb\":" + number + ",\"gpu\":0}"));
    entries.push_back(EntryWith(
        "capacity", "{\"cpu\":1,\"mem_mb\":1,\"gpu\":" + number + "}"));
  }
  for (const char* address :
       {"", "10.1.1.1", "10.1.1.1:", ":8080", "10.1.1.1:0", "10.1.1.1:-1",
        "10.1.1.1:+1", "10.1.1.1:65536", "10.1.1.1:99999999999", "10.1.1.1:80 ",
        "10.1.1.1: 80", " 10.1.1.1:80", "10.1.1.1:http", "10.1.1.1:8080:1",
        "10.1.1.256:80", "10.1.1:80", "worker.example:80",
        "10.1.1.1\\u0000.example:80", "fe80::1%a\\r\\nb:80"}) {
    entries.push_back(EntryWith("addr", "\"" + std::string(address) + "\""));
  }
  return entries;
}

std::vector<StoredItem> ItemsWithOddValues() {
  std::vector<StoredItem> items;
  for (const auto& texts : {OddTexts(), EntriesWithMissingFields(),
                            EntriesWithOtherTypes(), EntriesOutOfRange()}) {
    for (const std::string& text : texts) {
      items.push_back({"servers/odd" + std::to_string(items.size()), text,
                       StoreRevision(1)});
    }
  }
  return items;
}

std::vector<StoredItem> ItemsWithOddKeys() {
  std::vector<StoredItem> items;
  for (const std::string& key :
       {std::string(), std::string("servers"), std::string("servers/"),
        std::string("other/w7"), std::string("servers/a/b"),
        std::string("servers/a b"), std::string("servers/a\r\nb"),
        std::string("servers/a\0b", 11), std::string("servers/\xc3\xa4"),
        "servers/" + std::string(190, 'a')}) {
    items.push_back({key, SoundEntry(), StoreRevision(1)});
  }
  return items;
}

StoredItem SoundItem(const std::string& worker) {
  return {kWorkerPrefix + worker, SoundEntry(), StoreRevision(1)};
}

void CheckNamesNoWorker(const StoredItem& odd) {
  INFO("key \"" << odd.m_key << "\" value " << odd.m_value.substr(0, 400));
  const auto workers = ReadWorkers({SoundItem("w0"), odd, SoundItem("w1")});
  CHECK(workers.size() == 2);
  CHECK(workers.front().m_worker == WorkerId("w0"));
  CHECK(workers.back().m_worker == WorkerId("w1"));
}

}  // namespace

TEST_CASE("A sound entry of a listing is read with all of its fields") {
  const auto workers = ReadWorkers({SoundItem("w0")});
  REQUIRE(workers.size() == 1);
  const fleet::ListedWorker& worker = workers[0];
  CHECK(worker.m_worker == WorkerId("w0"));
  CHECK(worker.m_incarnation == Incarnation(1));
  CHECK(worker.m_pool == PoolId("pool"));
  CHECK(worker.m_address == "10.128.0.9:8080");
  CHECK(worker.m_failure_domain == FailureDomainId("bc-south-a"));
  CHECK(worker.m_capacity.m_processors == Millicores(16000));
  CHECK(worker.m_capacity.m_memory == Mebibytes(32768));
  CHECK(worker.m_capacity.m_accelerators == Accelerators(0));
  CHECK(worker.m_labels == std::vector<std::string>{"a", "r1-3"});
  CHECK_FALSE(worker.m_is_leaving);
}

// Guards against refusing workers of platforms that state no start, or that
// state more than is known here.
TEST_CASE("Sound entries of a listing may differ in optional fields") {
  Fields extended = kSoundFields;
  extended.emplace_back("remaining_ms", "2000");
  extended.emplace_back("unknown", R"([{"a":1.5}])");
  for (const std::string& text :
       {EntryWithout("born"), EntryWithout("clock_ms"), TextOf(extended),
        EntryWith("cold_left_ms", "1500.5"), EntryWith("labels", "[]"),
        EntryWith("capacity", R"({"cpu":0,"mem_mb":0,"gpu":0})"),
        EntryWith("addr", R"("fd00::9:8080")"),
        EntryWith("born", "1792000000000")}) {
    INFO(text);
    CHECK(ReadWorkers({{"servers/w0", text, StoreRevision(1)}}).size() == 1);
  }
  const auto leaving = ReadWorkers(
      {{"servers/w0", EntryWith("state", R"("draining")"), StoreRevision(1)}});
  REQUIRE(leaving.size() == 1);
  CHECK(leaving[0].m_is_leaving);
}

// Guards against entries of other programs that end the process, hide the
// other workers or are taken as workers to use.
TEST_CASE("Odd entries of a listing name no worker and hide no other") {
  for (const StoredItem& item : ItemsWithOddValues()) CheckNamesNoWorker(item);
}

// Guards against ids that cannot be stored in the roster or sent to a worker,
// which would keep every other worker out of the roster.
TEST_CASE("Odd keys of a listing name no worker and hide no other") {
  for (const StoredItem& item : ItemsWithOddKeys()) CheckNamesNoWorker(item);
}

// Guards against capacities that overflow the sums and scores of placement.
TEST_CASE("A fleet places work beside all odd entries of a listing") {
  std::vector<StoredItem> items = ItemsWithOddValues();
  items.push_back(SoundItem("w0"));
  fleet::FleetFixture fixture;
  fleet::ApplyListing(fixture.m_fleet, ReadWorkers(items), fixture.m_now,
                      fixture.m_now);
  fleet::TickFleet(fixture.m_fleet, fixture.m_now, 0);
  fleet::Report(fixture, "w0", {}, {});
  fleet::ApplyRosterStored(fixture.m_fleet,
                           fleet::MissingFromRoster(fixture.m_fleet));
  fleet::Submit(fixture, fleet::MakePlan("j", 3, Millicores(1000)));
  const auto starts = fleet::TakeOrders<fleet::StartOrder>(fixture);
  CHECK(starts.size() == 3);
  for (const auto& start : starts) CHECK(start.m_worker == WorkerId("w0"));
  CHECK(fixture.m_fleet.m_workers.size() == 1);
}

// Guards against new work for a worker whose own entry another program has
// replaced.
TEST_CASE("A worker whose entry in the listing turns odd gets no new work") {
  for (const StoredItem& odd : ItemsWithOddValues()) {
    INFO(odd.m_value.substr(0, 400));
    fleet::FleetFixture fixture;
    fleet::ApplyListing(fixture.m_fleet, ReadWorkers({SoundItem("w0")}),
                        fixture.m_now, fixture.m_now);
    fleet::TickFleet(fixture.m_fleet, fixture.m_now, 0);
    fleet::Report(fixture, "w0", {}, {});
    fleet::ApplyRosterStored(fixture.m_fleet,
                             fleet::MissingFromRoster(fixture.m_fleet));
    fleet::Submit(fixture, fleet::MakePlan("j", 1, Millicores(1000)));
    CHECK(fleet::TakeOrders<fleet::StartOrder>(fixture).size() == 1);
    const StoredItem replaced{"servers/w0", odd.m_value, StoreRevision(2)};
    fleet::ApplyListing(fixture.m_fleet, ReadWorkers({replaced}), fixture.m_now,
                        fixture.m_now);
    fleet::Submit(fixture, fleet::MakePlan("k", 1, Millicores(1000)));
    CHECK(fleet::TakeOrders<fleet::StartOrder>(fixture).empty());
    // What runs there is not affected.
    CHECK(fleet::TaskOf(fixture, {JobKey("j"), 0, 0, 0}).m_worker ==
          WorkerId("w0"));
  }
}

// Guards against using a worker by an entry that is not its own: what the
// worker says of itself always states its start, or never does.
TEST_CASE("An entry without the start that its worker states names no worker") {
  fleet::FleetFixture fixture;
  const StoredItem without{"servers/w0", EntryWithout("born"),
                           StoreRevision(2)};
  const auto list = [&fixture](const StoredItem& item) {
    fleet::ApplyListing(fixture.m_fleet, ReadWorkers({item}), fixture.m_now,
                        fixture.m_now);
  };
  list(SoundItem("w0"));
  fleet::TickFleet(fixture.m_fleet, fixture.m_now, 0);
  fleet::Report(fixture, "w0", {}, {});
  fleet::ApplyRosterStored(fixture.m_fleet,
                           fleet::MissingFromRoster(fixture.m_fleet));
  list(without);
  fleet::Submit(fixture, fleet::MakePlan("j", 1, Millicores(1000)));
  CHECK(fleet::TakeOrders<fleet::StartOrder>(fixture).empty());
  list(SoundItem("w0"));
  fleet::PlaceRuns(fixture.m_fleet, fixture.m_now);
  CHECK(fleet::TakeOrders<fleet::StartOrder>(fixture).size() == 1);
}

}  // namespace daisyarch::adapter
