// A job that has done nothing never starts, because another one's task waits
// for the only executor that has their label.
#include <map>

#include "drive.h"

namespace daisyarch::review {
namespace {

constexpr int kWorkers = 8;
constexpr int kDownMs = 1500;
constexpr int kGoneMs = 1000000;
constexpr int kCrashAfterMs = 400;
// Of the rule: `finish_s` after the end of the traffic, for 3 s.
constexpr std::int64_t kFinishMs = 14000;
constexpr std::int64_t kWindowMs = 3000;
const std::string kPath = "/jobs/";
const std::string kService = "00000000000000a1";
const std::string kCrashed = "00000000000000a2";
const std::string kSmall = "00000000000000a3";

std::string JobBody(int processors, bool lasts) {
  Json step = {{"count", 1},
               {"cpu", processors},
               {"mem_mb", 256},
               {"est_ms", 500},
               {"requires", "fast"}};
  if (lasts) step["long_running"] = true;
  return Json{{"spec", lasts ? "lasts;0,0,0" : "small;500,0,0"},
              {"steps", Json::array({step})}}
      .dump();
}

// Returns the worker of the job's start of this number; empty if there is none.
std::string WorkerOfStart(const Site& site, const std::string& job,
                          std::size_t number) {
  std::size_t seen = 0;
  for (const WorkerEvent& event : site.WorkerEvents()) {
    if (event.m_event != "start" || event.m_task.rfind(job, 0) != 0) continue;
    if (++seen == number) return event.m_worker;
  }
  return "";
}

std::string WaitForStart(const Site& site, const std::string& job,
                         std::size_t number) {
  for (int tries = 0; tries < 1000; ++tries) {
    const std::string worker = WorkerOfStart(site, job, number);
    if (!worker.empty()) return worker;
    SleepMs(20);
  }
  return "";
}

bool Submit(Site& site, const std::string& job, const std::string& body) {
  return site.RequestAny("POST", kPath + job, body).m_status == 200;
}

int Run(Site& site) {
  site.m_fast_workers = 2;
  if (!site.Start(3, kWorkers, Configuration(1, {{"work", kPath, 0, 3}})))
    return kCouldNotRun;
  if (!Submit(site, kService, JobBody(2000, true))) return kCouldNotRun;
  if (WaitForStart(site, kService, 1).empty()) return kCouldNotRun;
  SleepMs(3000);
  if (!Submit(site, kCrashed, JobBody(3500, true))) return kCouldNotRun;
  if (WaitForStart(site, kCrashed, 1).empty()) return kCouldNotRun;
  // Its executor crashes twice and does not come back the second time.
  for (std::size_t crash = 1; HasTrouble() && crash <= 2; ++crash) {
    const std::string worker = WaitForStart(site, kCrashed, crash);
    if (worker.empty()) return kCouldNotRun;
    SleepMs(kCrashAfterMs);
    site.ControlWorkers(
        "/restart",
        {{"worker", worker}, {"down_ms", crash == 1 ? kDownMs : kGoneMs}});
    // The store drops the entry after three heartbeats.
    if (crash == 1) continue;
    SleepMs(4500);
    site.RemoveKey("servers/" + worker);
  }
  // The leases at the lost executor have expired by then.
  SleepMs(9000);
  if (!Submit(site, kSmall, JobBody(500, false))) return kCouldNotRun;
  const std::int64_t accepted_at = NowMs();
  while (NowMs() < accepted_at + kFinishMs + kWindowMs + 1000) {
    if (!WorkerOfStart(site, kSmall, 1).empty()) return kHeld;
    SleepMs(200);
  }
  site.RequestAny("GET", kPath + kSmall, "");
  if (site.HasUnexpectedEnd()) return kCouldNotRun;
  site.Record("BROKEN: LOST: " + kSmall + ", accepted at " +
              std::to_string(accepted_at) + ", has not been started");
  // Whether it ever starts is recorded as well.
  SleepMs(30000);
  const bool has_run = !WorkerOfStart(site, kSmall, 1).empty();
  site.Record(std::string("30 s later it has ") + (has_run ? "" : "not ") +
              "been started");
  return kBroken;
}

}  // namespace
}  // namespace daisyarch::review

int main(int argument_count, char** arguments) {
  return daisyarch::review::Main(argument_count, arguments,
                                 daisyarch::review::Run);
}
