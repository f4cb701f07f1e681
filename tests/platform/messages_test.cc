#include <catch2/catch.hpp>

#include "configuration.h"
#include "job_messages.h"
#include "listing.h"
#include "task_name.h"

namespace daisyarch::adapter {

namespace {

const JobKey kKey("5c0e7a21d94b36f8");

std::string ErrorDetailOf(const std::string& body) {
  const auto plan = ReadJob(kKey, body);
  return plan ? "" : plan.assume_error().m_detail;
}

}  // namespace

TEST_CASE("Task names round-trip and malformed names are rejected") {
  const fleet::TaskReference task{kKey, 0, 1, 17};
  CHECK(WriteTaskName(task) == "5c0e7a21d94b36f8.0.1.17");
  CHECK(ReadTaskName("5c0e7a21d94b36f8.0.1.17") == task);
  for (const char* text : {"", "a", "a.b.c.d", "a.1.2", "a.1.2.3.4", "a.-1.2.3",
                           "a.1.2.99999999999"}) {
    CHECK_FALSE(ReadTaskName(text).has_value());
  }
}

TEST_CASE("A job is decoded with the fields of its steps") {
  const auto plan = ReadJob(
      kKey,
      R"json({"spec":"(text)","steps":[{"count":4,"cpu":500,"mem_mb":256,
      "est_ms":900,"affinity":"r1-3"},{"count":20,"cpu":2000,"mem_mb":1024,
      "est_ms":7000,"after":[0],"saves_progress":true,"fills":true,
      "image":"i1","max_per_server":2,"unknown":[1]}]})json");
  REQUIRE(plan);
  const auto& steps = plan.assume_value().m_steps;
  REQUIRE(steps.size() == 2);
  CHECK(plan.assume_value().m_payload == "(text)");
  CHECK(steps[0].m_task_count == 4);
  CHECK(steps[0].m_data_rack == "r1-3");
  CHECK(steps[1].m_demand.m_memory == Mebibytes(1024));
  CHECK(steps[1].m_after == std::vector<std::uint32_t>{0});
  CHECK(steps[1].m_processor_use == fleet::ProcessorUse::kBestEffort);
  CHECK(steps[1].m_maximum_per_worker == 2);
  CHECK(fleet::CriticalPath(fleet::MakeStepGraph(plan.assume_value())) ==
        std::chrono::milliseconds(7900));
}

TEST_CASE("An invalid job is refused with the reason") {
  CHECK(ErrorDetailOf("{") != "");
  CHECK(ErrorDetailOf("[]") == "expected an object");
  CHECK(ErrorDetailOf("{}") == "steps: expected a list");
  CHECK(ErrorDetailOf(R"({"steps":[]})") == "expected 1 to 1000 steps");
  CHECK(ErrorDetailOf(R"({"steps":[7]})") == "steps: expected objects");
  CHECK(ErrorDetailOf(R"({"steps":[{"cpu":1}]})") == "step 0: has no tasks");
  CHECK(ErrorDetailOf(R"({"steps":[{"count":-1}]})") == "count: out of range");
  CHECK(ErrorDetailOf(R"({"steps":[{"count":1,"cpu":-5}]})") ==
        "step 0: a demand is negative");
  CHECK(ErrorDetailOf(R"({"steps":[{"count":1,"after":[0]}]})") ==
        "step 0: waits for a step that is not earlier");
  CHECK(ErrorDetailOf(R"({"steps":[{"count":200000}],"times":2})") ==
        "more than 200000 tasks");
  CHECK(ErrorDetailOf(R"({"spec":7,"steps":[{"count":1}]})") ==
        "spec: expected text");
  CHECK(IsJobKey("5c0e7a21d94b36f8"));
  CHECK_FALSE(IsJobKey("5c0e7a21d94b36f"));
  CHECK_FALSE(IsJobKey("5c0e7a21d94b36fg"));
}

// Guards against estimates that overflow when they are converted, and against
// numbers that lose their high bits: "after" 2^32 named step 0, and a limit of
// 2^32 tasks per worker meant none.
TEST_CASE("A job with a number out of range is refused") {
  for (const char* number : {"4294967296000000", "9223372036854775807",
                             "-9223372036854775808", "18446744073709551615"}) {
    for (const char* name : {"cpu", "mem_mb", "gpu", "est_ms", "target_ms",
                             "max_per_server", "may_miss"}) {
      INFO(name << " " << number);
      CHECK(ErrorDetailOf(R"({"steps":[{"count":1,")" + std::string(name) +
                          "\":" + number + "}]}") ==
            std::string(name) + ": out of range");
    }
    for (const char* name : {"start_time_ms", "interval_ms"}) {
      INFO(name << " " << number);
      CHECK(ErrorDetailOf(R"({"times":2,"steps":[{"count":1}],")" +
                          std::string(name) + "\":" + number + "}") ==
            std::string(name) + ": out of range");
    }
  }
  for (const char* number : {"4294967296", "18446744073709551615"}) {
    CHECK(ErrorDetailOf(R"({"steps":[{"count":1},{"count":1,"after":[)" +
                        std::string(number) + "]}]}") == "after: out of range");
  }
  CHECK(
      ErrorDetailOf(R"({"steps":[{"count":1,"max_per_server":4294967296}]})") ==
      "max_per_server: out of range");
  CHECK(ErrorDetailOf(R"({"times":2,"start_time_ms":1792000000000,
        "interval_ms":60000,"steps":[{"count":1,"cpu":64000,"est_ms":86400000,
        "target_ms":50,"max_per_server":1,"may_miss":1}]})") == "");
}

TEST_CASE("Malformed worker entries are left out of the listing") {
  const std::string good =
      R"({"service":"p","addr":"10.128.0.9:8080","zone":"a","state":"ready",
      "version":"v1","slots":8,"cold_left_ms":0,"born":5,
      "capacity":{"cpu":16000,"mem_mb":32768,"gpu":0},
      "labels":["a","r1-3"],"seq":4})";
  const auto workers =
      ReadWorkers({{"servers/good", good, StoreRevision(1)},
                   {"servers/text", "not json", StoreRevision(1)},
                   {"servers/list", "[]", StoreRevision(1)},
                   {"servers/state",
                    R"({"service":"p","addr":"10.1.1.1:1","state":"odd",
        "zone":"a","version":"v1","slots":8,
        "cold_left_ms":0,"labels":[],"seq":4,
        "capacity":{"cpu":1,"mem_mb":1,"gpu":0}})",
                    StoreRevision(1)},
                   {"servers/room",
                    R"({"service":"p","addr":"10.1.1.1:1","state":"ready",
        "zone":"a","version":"v1","slots":8,
        "cold_left_ms":0,"labels":[],"seq":4,
        "capacity":{"cpu":"many","mem_mb":1,"gpu":0}})",
                    StoreRevision(1)},
                   {"servers/addr",
                    R"({"service":"p","addr":"here","state":"ready",
        "zone":"a","version":"v1","slots":8,
        "cold_left_ms":0,"labels":[],"seq":4,
        "capacity":{"cpu":1,"mem_mb":1,"gpu":0}})",
                    StoreRevision(1)}});
  REQUIRE(workers.size() == 1);
  CHECK(workers[0].m_worker == WorkerId("good"));
  CHECK(workers[0].m_incarnation == Incarnation(5));
  CHECK(workers[0].m_capacity.m_processors == Millicores(16000));
  CHECK_FALSE(workers[0].m_is_leaving);
}

TEST_CASE("A request is routed by the longest matching prefix of its host") {
  const auto routes = ReadConfiguration(
      R"({"version":7,"routes":[
      {"name":"r1","host":"h.example","prefix":"/a/","service":"p",
       "priority":2,"max_attempts":4,"stretch":2.0,"target_duration_ms":1000},
      {"name":"r2","host":"h.example","prefix":"/a/b/","service":"p"},
      {"name":"r3","host":"other","prefix":"/a/","service":"p"}, 7],
      "limits":{"max_body_bytes":100}})");
  REQUIRE(routes);
  const fleet::JobRoutes& all = routes.assume_value();
  CHECK(all.m_version == ConfigurationVersion(7));
  CHECK(all.m_maximum_body_bytes == 100);
  const auto* found = fleet::FindRoute(all, "h.example", "/a/b/x");
  REQUIRE(found != nullptr);
  CHECK(found->m_queue.m_id == QueueId("r2"));
  found = fleet::FindRoute(all, "h.example", "/a/x");
  REQUIRE(found != nullptr);
  CHECK(found->m_queue.m_maximum_attempts == 4);
  CHECK(found->m_queue.m_target == std::chrono::seconds(1));
  CHECK(fleet::FindRoute(all, "none", "/a/x") == nullptr);
  CHECK_FALSE(ReadConfiguration("{}"));
  CHECK_FALSE(ReadConfiguration("x"));
}

// Guards against numbers of a configuration that overflow when they are
// converted, and against a maximum of 2^32 attempts that counts as none.
TEST_CASE("Numbers of a configuration are limited to their range") {
  const auto routes = ReadConfiguration(
      R"({"version":7,"limits":{"max_body_bytes":-1},"routes":[
      {"name":"r1","host":"h","prefix":"/a/","service":"p",
       "max_attempts":4294967296,"stretch":1e300,
       "target_duration_ms":9223372036854775807},
      {"name":"r2","host":"h","prefix":"/b/","service":"p",
       "max_attempts":-1,"stretch":-1e300,
       "target_duration_ms":-9223372036854775808}]})");
  REQUIRE(routes);
  CHECK(routes.assume_value().m_maximum_body_bytes == 0);
  const auto& all = routes.assume_value().m_routes;
  REQUIRE(all.size() == 2);
  CHECK(all[0].m_queue.m_maximum_attempts == UINT32_MAX);
  CHECK(all[0].m_queue.m_stretch == 50.0);
  CHECK(all[0].m_queue.m_target == std::chrono::hours(24 * 365));
  CHECK(all[1].m_queue.m_maximum_attempts == 1);
  CHECK(all[1].m_queue.m_stretch == 0.0);
  CHECK(all[1].m_queue.m_target == Duration{});
}

}  // namespace daisyarch::adapter
