// An executor that comes back as another kind gets a task that requires the
// kind it was before.
#include <map>

#include "drive.h"

namespace daisyarch::review {
namespace {

constexpr int kWorkers = 8;
constexpr int kDownMs = 3500;
constexpr int kSubmitAfterMs = 500;
const std::string kPath = "/jobs/";
const std::string kFirst = "00000000000000e1";
const std::string kSecond = "00000000000000e2";

std::string JobBody() {
  return Json{{"spec", "kind;500,0,0"},
              {"steps",
               {{{"count", 1},
                 {"cpu", 500},
                 {"mem_mb", 256},
                 {"est_ms", 500},
                 {"requires", "fast"}}}}}
      .dump();
}

bool WaitForState(Site& site, const std::string& key, const std::string& state,
                  int timeout_ms) {
  const std::int64_t until = NowMs() + timeout_ms;
  while (NowMs() < until) {
    const Answer answer = site.RequestAny("GET", kPath + key, "");
    const Json body = Json::parse(answer.m_body, nullptr, false);
    if (body.is_object() && body.value("state", std::string()) == state)
      return true;
    SleepMs(200);
  }
  return false;
}

// Returns a description of a start on a worker without the label; empty if
// there is none. Each line of the record that tells of a worker's beginning
// tells its kind.
std::string FindBreak(const Site& site) {
  std::map<std::string, std::string> kinds;
  for (const WorkerEvent& event : site.WorkerEvents()) {
    if (event.m_event == "begin") kinds[event.m_worker] = event.m_how;
    if (event.m_event != "start" || kinds[event.m_worker] == "fast") continue;
    return event.m_task + " run " + std::to_string(event.m_run) +
           " was started on " + event.m_worker + ", which is " +
           kinds[event.m_worker];
  }
  return "";
}

int Run(Site& site) {
  if (!site.Start(3, kWorkers, Configuration(1, {{"work", kPath, 0, 3}})))
    return kCouldNotRun;
  if (site.RequestAny("POST", kPath + kFirst, JobBody()).m_status != 200 ||
      !WaitForState(site, kFirst, "completed", 10000))
    return kCouldNotRun;
  if (HasTrouble()) {
    site.ControlWorkers("/restart", {{"worker", "w1"},
                                     {"down_ms", kDownMs},
                                     {"is_dark", true},
                                     {"kind", "plain"}});
    SleepMs(kSubmitAfterMs);
  }
  if (site.RequestAny("POST", kPath + kSecond, JobBody()).m_status != 200)
    return kCouldNotRun;
  const std::int64_t end_at = NowMs() + 30000;
  while (NowMs() < end_at) {
    const std::string text = FindBreak(site);
    if (!text.empty()) {
      site.Record("BROKEN: ROUTE: " + text);
      return kBroken;
    }
    if (!HasTrouble() && WaitForState(site, kSecond, "completed", 10000)) break;
    SleepMs(200);
  }
  return site.HasUnexpectedEnd() ? kCouldNotRun : kHeld;
}

}  // namespace
}  // namespace daisyarch::review

int main(int argument_count, char** arguments) {
  return daisyarch::review::Main(argument_count, arguments,
                                 daisyarch::review::Run);
}
