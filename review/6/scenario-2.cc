// Six jobs that run once a minute take every leader over its memory.
#include <map>

#include "drive.h"

namespace daisyarch::review {
namespace {

constexpr int kNodes = 3;
constexpr int kTimedJobs = 6;
constexpr int kManyTimes = 200000;
constexpr int kFewTimes = 3;
// `memory_mb` of the small deployments; the platform kills what exceeds it.
constexpr long kMemoryMb = 260;
constexpr std::int64_t kRestartAfterMs = 500;
constexpr int kEndsOfFault = 3;
const std::string kPath = "/jobs/";
const std::string kPlainJob = "00000000000000a9";

long ResidentMb(pid_t pid) {
  std::ifstream file("/proc/" + std::to_string(pid) + "/status");
  std::string word;
  long kilobytes = 0;
  while (file >> word) {
    if (word == "VmRSS:") file >> kilobytes;
  }
  return kilobytes / 1024;
}

std::string TimedJob() {
  const std::int64_t first = UnixMs() + 600000;
  return Json{
      {"spec", "timed;500,0,0"},
      {"times", HasTrouble() ? kManyTimes : kFewTimes},
      {"start_time_ms", first},
      {"interval_ms", 60000},
      {"steps",
       {{{"count", 1}, {"cpu", 500}, {"mem_mb", 256}, {"est_ms", 500}}}}}
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
  if (!site.Start(kNodes, 8, Configuration(1, {{"work", kPath, 0, 3}})))
    return kCouldNotRun;
  std::map<std::size_t, int> kills;
  std::map<std::size_t, std::int64_t> back_at;
  // Does what the platform does with processes.
  const auto supervise = [&] {
    for (std::size_t index = 0; index < site.nodes().size(); ++index) {
      Node& node = site.nodes()[index];
      const auto back = back_at.find(index);
      if (back != back_at.end()) {
        if (NowMs() < back->second) continue;
        site.StartNode(node);
        back_at.erase(back);
      }
      const long used = ResidentMb(node.m_pid);
      if (used <= kMemoryMb) continue;
      site.Record(node.m_name + " uses " + std::to_string(used) + " MB");
      site.KillNode(node);
      ++kills[index];
      back_at[index] = NowMs() + kRestartAfterMs;
    }
  };
  for (int number = 0; number < kTimedJobs; ++number) {
    supervise();
    const Answer answer = site.RequestAny(
        "POST", kPath + "00000000000000b" + std::to_string(number), TimedJob());
    if (answer.m_status != 200) return kCouldNotRun;
  }
  bool is_plain_accepted = false;
  const std::int64_t end_at = NowMs() + 50000;
  while (NowMs() < end_at) {
    supervise();
    SleepMs(10);
    if (is_plain_accepted) continue;
    is_plain_accepted =
        site.RequestAny("POST", kPath + kPlainJob, PlainJob()).m_status == 200;
  }
  int machines = 0;
  for (const auto& [index, count] : kills) {
    site.Record("front-" + std::to_string(index + 1) + " was killed " +
                std::to_string(count) + " times");
    if (count >= kEndsOfFault) ++machines;
  }
  const bool has_run = HasStarted(site, kPlainJob);
  site.Record(std::string("the plain job has ") + (has_run ? "" : "not ") +
              "been started");
  if (!is_plain_accepted) return kCouldNotRun;
  if (machines >= 2) {
    site.Record("BROKEN: Fault: processes of " + std::to_string(machines) +
                " machines ended by themselves three times");
    return kBroken;
  }
  return kHeld;
}

}  // namespace
}  // namespace daisyarch::review

int main(int argument_count, char** arguments) {
  return daisyarch::review::Main(argument_count, arguments,
                                 daisyarch::review::Run);
}
