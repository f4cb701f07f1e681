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

}  // namespace daisyarch::adapter
