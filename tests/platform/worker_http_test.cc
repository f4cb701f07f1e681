#include "worker_http.h"

#include <catch2/catch.hpp>

namespace daisyarch::adapter {

namespace {

const WorkerId kWorker("w0");
const std::string kActive = R"(["5c0e7a21d94b36f8.0.1.17",2,"c",41,700])";
const std::string kEnded = R"([58,"5c0e7a21d94b36f8.0.1.9",1,"done",""])";

std::string BodyOf(const std::string& running, const std::string& finished) {
  return R"({"clock_ms":482113,"born":5,"running":[)" + running +
         R"(],"finished":[)" + finished + "]}";
}

std::string ErrorDetailOf(const std::string& body) {
  const auto report = ReadReport(body, kWorker);
  if (report) return "";
  CHECK(report.assume_error().m_code == ErrorCode::kInvalidArgument);
  return report.assume_error().m_detail;
}

}  // namespace

TEST_CASE("A worker's report is read with all rows of its lists") {
  const auto result =
      ReadReport(BodyOf(kActive + "," + kActive, kEnded), kWorker);
  REQUIRE(result);
  const fleet::WorkerReport& report = result.assume_value();
  CHECK(report.m_incarnation == Incarnation(5));
  CHECK(report.m_clock == fleet::WorkerMilliseconds(482113));
  REQUIRE(report.m_running.size() == 2);
  CHECK(report.m_running[0].m_task ==
        fleet::TaskReference{JobKey("5c0e7a21d94b36f8"), 0, 1, 17});
  CHECK(report.m_running[0].m_run == RunNumber(2));
  CHECK(report.m_running[0].m_checkpoint == "c");
  CHECK(report.m_running[0].m_progress_percent == 41);
  CHECK(report.m_running[0].m_load == 700);
  REQUIRE(report.m_ended.size() == 1);
  CHECK(report.m_ended[0].m_number == OutcomeNumber(58));
  CHECK(report.m_ended[0].m_run == RunNumber(1));
  CHECK(report.m_ended[0].m_outcome == fleet::RunOutcome::kDone);
}

// Guards against a run that counts as gone because the report had no room for
// its end.
TEST_CASE("A report of 500 ended runs may omit others") {
  std::string ended = kEnded;
  for (int row = 1; row < 499; ++row) ended += "," + kEnded;
  const auto shorter = ReadReport(BodyOf(kActive, ended), kWorker);
  REQUIRE(shorter);
  CHECK(shorter.assume_value().m_lists_all_ends);
  const auto full = ReadReport(BodyOf(kActive, ended + "," + kEnded), kWorker);
  REQUIRE(full);
  CHECK(full.assume_value().m_ended.size() == 500);
  CHECK_FALSE(full.assume_value().m_lists_all_ends);
}

// Guards against a report whose unreadable row is skipped: the end of a run is
// then acknowledged without being counted, and a run that is still active
// counts as gone.
TEST_CASE("A report with an unreadable row of a list is an error") {
  for (const char* row :
       {"7", "null", "{}", "[]", R"([58,"5c0e7a21d94b36f8.0.1.9",1,"done"])",
        R"(["58","5c0e7a21d94b36f8.0.1.9",1,"done",""])",
        R"([-58,"5c0e7a21d94b36f8.0.1.9",1,"done",""])",
        R"([58.5,"5c0e7a21d94b36f8.0.1.9",1,"done",""])",
        R"([0,"5c0e7a21d94b36f8.0.1.9",1,"done",""])",
        R"([18446744073709551616,"5c0e7a21d94b36f8.0.1.9",1,"done",""])",
        R"([58,7,1,"done",""])", R"([58,"5c0e7a21d94b36f8.0.1",1,"done",""])",
        R"([58,"5c0e7a21d94b36f8.0.1.+9",1,"done",""])",
        R"([58,"5c0e7a21d94b36f8.0.1.9","1","done",""])",
        R"([58,"5c0e7a21d94b36f8.0.1.9",-1,"done",""])",
        R"([58,"5c0e7a21d94b36f8.0.1.9",1,7,""])"}) {
    INFO(row);
    CHECK(ErrorDetailOf(BodyOf(kActive, kEnded + "," + row)) ==
          "finished: row 1 is malformed");
  }
  for (const char* row :
       {"7", "null", "{}", "[]", R"(["5c0e7a21d94b36f8.0.1.17",2,""])",
        R"([7,2,"",41])", R"(["5c0e7a21d94b36f8.0.1",2,"",41])",
        R"(["5c0e7a21d94b36f8.0.1. 17",2,"",41])",
        R"(["5c0e7a21d94b36f8.0.1.17","2","",41])",
        R"(["5c0e7a21d94b36f8.0.1.17",-2,"",41])"}) {
    INFO(row);
    CHECK(ErrorDetailOf(BodyOf(std::string(row) + "," + kActive, kEnded)) ==
          "running: row 0 is malformed");
  }
}

// Guards against a worker's clock that overflows the deadlines of its leases.
TEST_CASE("A report with a clock or a start out of range is an error") {
  const std::string lists = R"("running":[],"finished":[]})";
  CHECK(ErrorDetailOf(R"({"clock_ms":0,)" + lists) == "");
  for (const char* clock : {"-1", "9223372036854775807", "18446744073709551616",
                            "1e18", "1.5", R"("482113")", "null", "[]"}) {
    INFO(clock);
    CHECK(ErrorDetailOf(R"({"clock_ms":)" + std::string(clock) + "," + lists) ==
          "clock_ms: expected a whole number in range");
    CHECK(ErrorDetailOf(R"({"clock_ms":1,"born":)" + std::string(clock) + "," +
                        lists) == "born: expected a whole number in range");
  }
  CHECK(ErrorDetailOf("{" + lists) ==
        "clock_ms: expected a whole number in range");
}

// Guards against figures that overflow when they are converted or summed.
TEST_CASE("The progress and the load of a report are limited to their range") {
  struct Case {
    const char* m_text;
    int m_percent;
    std::int64_t m_load;
  };
  for (const Case& test :
       {Case{"-1", 0, 0}, Case{"0", 0, 0}, Case{"41.7", 41, 41},
        Case{"100", 100, 100}, Case{"1e300", 100, 1'000'000'000},
        Case{"-1e300", 0, 0}, Case{"9223372036854775807", 100, 1'000'000'000},
        Case{"18446744073709551615", 100, 1'000'000'000}}) {
    INFO(test.m_text);
    const std::string number = test.m_text;
    const auto report =
        ReadReport(BodyOf(R"(["5c0e7a21d94b36f8.0.1.17",2,"",)" + number + "," +
                              number + "]",
                          ""),
                   kWorker);
    REQUIRE(report);
    REQUIRE(report.assume_value().m_running.size() == 1);
    const fleet::ActiveRun& active = report.assume_value().m_running[0];
    CHECK(active.m_progress_percent == test.m_percent);
    CHECK(active.m_load == test.m_load);
  }
}

// Guards against a run that is started elsewhere because its first start was
// taken as refused although the worker may have executed it.
TEST_CASE("Only statuses of the protocol show that a start was not executed") {
  CHECK(StartOutcomeOf(200) == fleet::StartOutcome::kStarted);
  for (const unsigned status : {400U, 409U, 421U, 429U, 503U}) {
    INFO(status);
    CHECK(StartOutcomeOf(status) == fleet::StartOutcome::kRefused);
  }
  for (const unsigned status :
       {0U,   100U, 201U, 202U, 204U, 302U, 401U, 403U, 404U, 405U, 408U, 410U,
        412U, 413U, 422U, 425U, 431U, 500U, 501U, 502U, 504U, 505U, 599U}) {
    INFO(status);
    CHECK(StartOutcomeOf(status) == fleet::StartOutcome::kUnanswered);
  }
}

// Guards against an answer of a restarted worker that passes for one of its
// former life.
TEST_CASE("The answer to a start tells the worker's clock") {
  const auto clock_of = [](const std::string& body) {
    return ReadStartAnswer(200, body, kWorker).m_clock;
  };
  CHECK(clock_of(R"({"clock_ms":482113})") ==
        fleet::WorkerMilliseconds(482113));
  for (const char* body : {"", "{}", "[]", R"({"clock_ms":-1})",
                           R"({"clock_ms":"1"})", R"({"clock_ms":1.5})"}) {
    INFO(body);
    CHECK_FALSE(clock_of(body));
  }
}

}  // namespace daisyarch::adapter
