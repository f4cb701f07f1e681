#include <csignal>
#include <cstdio>
#include <nlohmann/json.hpp>
#include <string>

#include "case_site.h"
#include "runs.h"

// A job whose tasks last fills all executors, one of which crashes several
// times.

namespace review {
namespace {

using Json = nlohmann::json;

constexpr int kWorkers = 10;
// As the site files have it: srv_crash, share 0.14, for_s 4.5.
constexpr int kDownMs = 3000;
constexpr int kUpMs = 400;  ///< From the start of its task to the next crash.
constexpr int kCrashes = 8;
const char* const kJob = "c000000000000001";
const char* const kPath = "/jobs/c000000000000001";

// Each task takes a whole executor and runs until it is stopped.
std::string LastingJob() {
  const Json step = {{"count", kWorkers},
                     {"cpu", 4000},
                     {"mem_mb", 4000},
                     {"est_ms", 400},
                     {"long_running", true}};
  return Json{{"spec", std::string(kJob) + ";0,0,0"}, {"steps", {step}}}.dump();
}

struct Case {
  Site m_site;
  std::string m_state;
};

void AskState(Case& play) {
  Site& site = play.m_site;
  Node& node = site.m_nodes[1];
  const Answer answer = Ask(node.m_callers, "GET", kPath, "", 2000);
  play.m_state = StateOf(answer);
  Note(site, "GET " + std::string(kJob) + " at " + node.m_name + " -> " +
                 std::to_string(answer.m_status) + " " + play.m_state);
}

std::size_t StartsOnFirst(Case& play) {
  std::size_t starts = 0;
  for (const Run& run : ReadRuns(play.m_site).m_runs) {
    if (run.m_worker == "w1") ++starts;
  }
  return starts;
}

// Returns whether the executor has got a task again within 25 s.
bool AwaitStart(Case& play, std::size_t before) {
  for (int tries = 0; tries < 500; ++tries) {
    if (StartsOnFirst(play) > before) return true;
    if (tries % 40 == 39) AskState(play);
    if (play.m_state == "failed") return false;
    Sleep(50);
  }
  return false;
}

// The executor crashes again and again, soon after it has taken up its task.
void CrashRepeatedly(Case& play) {
  Site& site = play.m_site;
  for (int crash = 0; crash < kCrashes && Seconds(site) < 70; ++crash) {
    const std::size_t starts = StartsOnFirst(play);
    Note(site,
         "executor w1 crashes, down for " + std::to_string(kDownMs) + " ms");
    Ask(site.m_workers["control"], "POST", "/restart",
        Json{{"worker", "w1"}, {"down_ms", kDownMs}}.dump(), 1000);
    if (!AwaitStart(play, starts)) return;
    Sleep(kUpMs);
    AskState(play);
    if (play.m_state == "failed") return;
  }
}

bool Begin(Case& play) {
  Site& site = play.m_site;
  if (!StartStore(site) || !StartWorkers(site, kWorkers)) return false;
  PutConfiguration(site);
  for (const char* name : {"n1", "n2", "n3"}) AddNode(site, name);
  for (Node& node : site.m_nodes) StartNode(site, node);
  if (!WaitUntilReady(site, 20)) return false;
  for (int tries = 0; tries < 100 && LeaderOf(site) < 0; ++tries) Sleep(100);
  return LeaderOf(site) >= 0;
}

int Play(Case& play) {
  Site& site = play.m_site;
  if (!Begin(play)) return 2;
  const Answer answer =
      Ask(site.m_nodes[0].m_callers, "POST", kPath, LastingJob(), 3000);
  Note(site, "POST " + std::string(kJob) + " at n1 -> " +
                 std::to_string(answer.m_status));
  if (answer.m_status != 200) return 2;
  Sleep(8000);
  AskState(play);
  if (play.m_state != "running" && play.m_state != "queued") return 2;
  if (!IsCalm()) CrashRepeatedly(play);
  Sleep(10000);
  AskState(play);
  int failed_ends = 0;
  for (const Run& run : ReadRuns(site).m_runs) {
    if (run.m_how == "failed") ++failed_ends;
  }
  Note(site, "runs that ended failed: " + std::to_string(failed_ends));
  if (failed_ends > 0) return 2;
  return play.m_state == "failed" || play.m_state == "canceled" ? 1 : 0;
}

}  // namespace
}  // namespace review

int main(int count, char** words) {
  review::Case play;
  if (!review::OpenSite(play.m_site, count, words)) return 2;
  const int result = review::Play(play);
  review::NoteRuns(play.m_site);
  review::EndSite(play.m_site);
  review::Note(play.m_site, "result " + std::to_string(result));
  return result;
}
