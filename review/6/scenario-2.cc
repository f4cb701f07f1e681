// A job that lasts is shown as failed because executors crash under one of its
// tasks.
#include "drive.h"

namespace daisyarch::review {
namespace {

const char* const kJob = "00000000000000a1";
constexpr int kWorkers = 8;
constexpr int kCrashes = 4;
constexpr int kDownMs = 1500;
// Well within the first second of a run.
constexpr int kCrashAfterMs = 400;

std::string WorkerOfStart(const Site& site, const std::string& task,
                          std::size_t number) {
  std::size_t seen = 0;
  for (const WorkerEvent& event : site.WorkerEvents()) {
    if (event.m_event != "start" || event.m_task != task) continue;
    if (++seen == number) return event.m_worker;
  }
  return "";
}

std::string StateOf(Site& site) {
  const Answer answer =
      site.RequestAny("GET", std::string("/jobs/") + kJob, "");
  if (answer.m_status == 410) return "410";
  const Json body = Json::parse(answer.m_body, nullptr, false);
  return body.is_object() ? body.value("state", std::string()) : "";
}

int Run(Site& site) {
  if (!site.Start(3, kWorkers, Configuration(1, {{"work", "/jobs/", 0, 2}})))
    return kCouldNotRun;
  const Json body = {{"spec", "lasts;0,0,0"},
                     {"steps",
                      {{{"count", 1},
                        {"cpu", 500},
                        {"mem_mb", 256},
                        {"est_ms", 400},
                        {"long_running", true}}}}};
  if (site.RequestAny("POST", std::string("/jobs/") + kJob, body.dump())
          .m_status != 200)
    return kCouldNotRun;
  const std::string task = std::string(kJob) + ".0.0.0";
  const std::int64_t end_at = NowMs() + 80000;
  std::size_t crashes = 0;
  while (NowMs() < end_at) {
    if (HasTrouble() && crashes < kCrashes) {
      const std::string worker = WorkerOfStart(site, task, crashes + 1);
      if (!worker.empty()) {
        SleepMs(kCrashAfterMs);
        site.ControlWorkers("/restart",
                            {{"worker", worker}, {"down_ms", kDownMs}});
        ++crashes;
      }
    }
    const std::string state = StateOf(site);
    if (state == "failed" || state == "canceled" || state == "410") {
      site.Record(
          "BROKEN: LOST: the job, which nobody has cancelled, is shown "
          "as " +
          state);
      return kBroken;
    }
    if (!HasTrouble() && NowMs() > end_at - 60000) break;
    SleepMs(250);
  }
  if (site.HasUnexpectedEnd()) return kCouldNotRun;
  if (HasTrouble() && crashes < kCrashes) return kCouldNotRun;
  return kHeld;
}

}  // namespace
}  // namespace daisyarch::review

int main(int argument_count, char** arguments) {
  return daisyarch::review::Main(argument_count, arguments,
                                 daisyarch::review::Run);
}
