#include "soak/soak_rules.h"

#include <catch2/catch.hpp>
#include <sstream>

namespace daisyarch::soak {
namespace {

constexpr const char* kId = "0000000100000001";

// A frail job of two steps, of which the second follows the first.
SoakTraffic OneJob() {
  SoakTraffic traffic;
  SoakJob& job = traffic.m_jobs.emplace_back();
  job.m_job.m_id = kId;
  job.m_job.m_is_frail = true;
  job.m_job.m_steps.resize(2);
  job.m_job.m_steps[1].m_is_after_previous = true;
  job.m_is_accepted = true;
  job.m_completed_at = TimePoint(FromMilliseconds(9000));
  return traffic;
}

// Replaces A and B by the names of both tasks, and P by the payload.
std::string BrokenBy(const std::string& lines, const SoakTraffic& traffic) {
  std::ostringstream text;
  for (const char letter : lines) {
    if (letter == 'A') text << kId << ".0.0.0";
    if (letter == 'B') text << kId << ".0.1.0";
    if (letter == 'P') text << PayloadOf(traffic.m_jobs.front().m_job);
    if (letter != 'A' && letter != 'B' && letter != 'P') text << letter;
  }
  std::istringstream stream(text.str());
  const auto broken = CheckRules(ReadRecord(stream), traffic);
  return broken.empty() ? "" : broken.front().m_rule;
}

const std::string kFirstDone = "1 start w1 A 1 1 P\n2 end w1 A 1 done\n";
const std::string kSecondDone = "6 start w1 B 1 1 P\n7 end w1 B 1 done\n";
const std::string kFailure = "0 start w1 A 1 1 P\n0 end w1 A 1 failed\n";
const std::string kNotedFailure = kFailure + "0 noted w1 A 1 failed\n";

// Guards against a soak that holds because its checks see nothing.
TEST_CASE("Each rule of the soak is broken by a record that breaks it") {
  const SoakTraffic traffic = OneJob();
  CHECK(BrokenBy(kFirstDone + kSecondDone, traffic).empty());
  const std::string again = "4 start w2 A 2 1 P\n5 end w2 A 2 done\n";
  const std::string noted = "3 noted w1 A 1 done\n";
  CHECK(BrokenBy(kFirstDone + again + kSecondDone, traffic).empty());
  CHECK(BrokenBy(kFirstDone + noted + again + kSecondDone, traffic) == "TWICE");
  CHECK(BrokenBy(kFirstDone + again + noted + kSecondDone, traffic) == "TWICE");
  CHECK(BrokenBy("0 start w2 A 2 1 P\n" + kFirstDone + kSecondDone, traffic) ==
        "TWICE");
  CHECK(
      BrokenBy("0 start w2 A 2 1 P\n0 gone w2 w2\n" + kFirstDone + kSecondDone,
               traffic)
          .empty());
  CHECK(BrokenBy(kNotedFailure + kFirstDone + kSecondDone, traffic).empty());
  CHECK(BrokenBy(kNotedFailure + kFailure + kFirstDone + kSecondDone, traffic)
            .empty());
  CHECK(BrokenBy(kNotedFailure + kNotedFailure + kFirstDone + kSecondDone,
                 traffic) == "BUDGET");
  CHECK(BrokenBy(kSecondDone + "8 start w1 A 1 1 P\n9 end w1 A 1 done\n",
                 traffic) == "ORDER");
  CHECK(BrokenBy(kFirstDone + "6 start w1 B 1 1 x\n7 end w1 B 1 done\n",
                 traffic) == "UNASKED");
  CHECK(BrokenBy(kFirstDone + kSecondDone + "8 start w1 f.0.0.0 1 1 x\n",
                 traffic) == "UNASKED");
  CHECK(BrokenBy(kFirstDone, traffic) == "MIXED");
}

// Guards against a soak that accepts what callers must not be shown.
TEST_CASE("The soak sees rejected, lost and failed jobs") {
  SoakTraffic traffic = OneJob();
  SoakJob& job = traffic.m_jobs.front();
  job.m_completed_at = TimePoint::max();
  CHECK(BrokenBy(kFirstDone + kSecondDone, traffic) == "LOST");
  job.m_failed_at = TimePoint(FromMilliseconds(9000));
  CHECK(BrokenBy(kFailure, traffic) == "LOST");
  CHECK(BrokenBy(kNotedFailure + "1 start w1 A 2 1 P\n2 end w1 A 2 failed\n",
                 traffic)
            .empty());
  job.m_is_accepted = false;
  job.m_is_rejected = true;
  CHECK(BrokenBy(kFirstDone, traffic) == "REFUSED");
}

}  // namespace
}  // namespace daisyarch::soak
