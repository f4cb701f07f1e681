// Two jobs of many steps and occurrences block the loop of every leader.
#include <set>

#include "drive.h"

namespace daisyarch::review {
namespace {

constexpr int kFirstSteps = 250;
constexpr int kLaterSteps = 200;
constexpr int kManyTimes = 400;
constexpr int kFewTimes = 1;
// Of the rule: `finish_s` after the end of the traffic, for 3 s.
constexpr std::int64_t kFinishMs = 14000;
constexpr std::int64_t kWindowMs = 3000;
const std::string kPath = "/jobs/";

std::string WideJob() {
  Json steps = Json::array();
  Json after = Json::array();
  for (int number = 0; number < kFirstSteps; ++number) {
    steps.push_back(
        {{"count", 1}, {"cpu", 10}, {"mem_mb", 1}, {"est_ms", 100}});
    after.push_back(number);
  }
  for (int number = 0; number < kLaterSteps; ++number) {
    steps.push_back({{"count", 1},
                     {"cpu", 10},
                     {"mem_mb", 1},
                     {"est_ms", 100},
                     {"after", after}});
  }
  return Json{{"spec", "wide"},
              {"times", HasTrouble() ? kManyTimes : kFewTimes},
              {"start_time_ms", UnixMs()},
              {"interval_ms", 10},
              {"steps", steps}}
      .dump();
}

std::string PlainJob() {
  return Json{
      {"spec", "plain;500,0,0"},
      {"steps",
       {{{"count", 1}, {"cpu", 500}, {"mem_mb", 256}, {"est_ms", 500}}}}}
      .dump();
}

bool HasStarted(const Site& site, const std::string& job) {
  for (const WorkerEvent& event : site.WorkerEvents()) {
    if (event.m_event == "start" && event.m_task.rfind(job, 0) == 0)
      return true;
  }
  return false;
}

int Run(Site& site) {
  if (!site.Start(3, 8, Configuration(1, {{"work", kPath, 0, 3}})))
    return kCouldNotRun;
  const std::string wide = WideJob();
  site.Record("the body of the large job has " + std::to_string(wide.size()) +
              " bytes");
  for (const char* job : {"00000000000000c1", "00000000000000c3"}) {
    if (site.RequestAny("POST", kPath + job, wide).m_status != 200)
      return kCouldNotRun;
  }
  SleepMs(4000);
  const std::string plain = "00000000000000c2";
  if (site.RequestAny("POST", kPath + plain, PlainJob()).m_status != 200)
    return kCouldNotRun;
  const std::int64_t accepted_at = NowMs();
  std::string leader;
  while (NowMs() < accepted_at + kFinishMs + kWindowMs + 1000) {
    SleepMs(200);
    const int index = site.Leader();
    const std::string name =
        index < 0 ? "nobody" : "node " + std::to_string(index + 1);
    if (name != leader) site.Record("leader: " + name);
    leader = name;
  }
  const bool has_run = HasStarted(site, plain);
  site.RequestAny("GET", kPath + plain, "");
  if (site.HasUnexpectedEnd()) return kCouldNotRun;
  if (has_run) return kHeld;
  site.Record("BROKEN: LOST: " + plain + " has not been started within " +
              std::to_string(kFinishMs + kWindowMs) + " ms");
  return kBroken;
}

}  // namespace
}  // namespace daisyarch::review

int main(int argument_count, char** arguments) {
  return daisyarch::review::Main(argument_count, arguments,
                                 daisyarch::review::Run);
}
