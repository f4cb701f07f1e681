#include <csignal>
#include <nlohmann/json.hpp>
#include <string>

#include "case_site.h"
#include "runs.h"

// The leader is killed just after it has sent a start, which the executor
// leaves unanswered and carries out late, in its next life behind a cut.

namespace review {
namespace {

using Json = nlohmann::json;

constexpr int kWorkers = 7;
const char* const kLast = "w7";
// As the site files have it: applied_late, "carried out 2 to 12 s later";
// node_kill, count 1, for_s 3.5; node_cut of servers, for_s 5.5, "reborn".
constexpr int kLateMs = 6000;
constexpr int kNodeDownMs = 3000;
constexpr int kCutAfterMs = 4000;
constexpr int kCutMs = 5500;
constexpr int kDownMs = 500;

std::string Job(const std::string& spec, int count, int processors) {
  const Json step = {
      {"count", count}, {"cpu", processors}, {"mem_mb", 512}, {"est_ms", 1000}};
  return Json{{"spec", spec}, {"steps", {step}}}.dump();
}

bool Begin(Site& site) {
  if (!StartStore(site) || !StartWorkers(site, kWorkers, true)) return false;
  PutConfiguration(site);
  for (const char* name : {"n1", "n2", "n3"}) AddNode(site, name);
  for (Node& node : site.m_nodes) StartNode(site, node);
  if (!WaitUntilReady(site, 20)) return false;
  for (int tries = 0; tries < 100 && LeaderOf(site) < 0; ++tries) Sleep(100);
  return LeaderOf(site) >= 0;
}

bool Submit(Site& site, const Node& node, const std::string& id,
            const std::string& body) {
  const Answer answer = Ask(node.m_callers, "POST", "/jobs/" + id, body, 3000);
  Note(site, "POST " + id + " at " + node.m_name + " -> " +
                 std::to_string(answer.m_status));
  return answer.m_status == 200;
}

void Tell(Site& site, const char* path, const char* key, int value) {
  Note(site, std::string("link of ") + kLast + ": " + path + " " +
                 std::to_string(value) + " ms");
  Ask(site.m_links["control"], "POST", path,
      Json{{"link", kLast}, {key, value}}.dump(), 1000);
}

bool AwaitHeldStart(Site& site) {
  for (int tries = 0; tries < 200; ++tries) {
    const Answer answer = Ask(site.m_links["control"], "POST", "/held",
                              Json{{"link", kLast}}.dump(), 1000);
    if (answer.m_body.find("true") != std::string::npos) return true;
    Sleep(10);
  }
  return false;
}

// Returns whether two runs of one task overlap on executors that are up.
bool HasTwoRuns(Site& site) {
  const Runs runs = ReadRuns(site);
  bool has_two = false;
  for (std::size_t first = 0; first < runs.m_runs.size(); ++first) {
    for (std::size_t second = first + 1; second < runs.m_runs.size();
         ++second) {
      const Run& left = runs.m_runs[first];
      const Run& right = runs.m_runs[second];
      if (left.m_task != right.m_task || right.m_begin >= left.m_end) continue;
      has_two = true;
      Note(site, left.m_task + ": run " + std::to_string(left.m_run) + " on " +
                     left.m_worker + " from " + std::to_string(left.m_begin) +
                     " to " + std::to_string(left.m_end) + ", run " +
                     std::to_string(right.m_run) + " on " + right.m_worker +
                     " from " + std::to_string(right.m_begin) + " to " +
                     std::to_string(right.m_end));
    }
  }
  return has_two;
}

int Play(Site& site) {
  if (!Begin(site)) return 2;
  Sleep(3000);
  const int leader = LeaderOf(site);
  Node& leading = site.m_nodes[static_cast<std::size_t>(leader)];
  const Node& other = site.m_nodes[static_cast<std::size_t>(leader + 1) % 3];
  // All executors but the last are full for a moment.
  if (!Submit(site, other, "b000000000000001",
              Job("fill;1500,0,0", kWorkers - 1, 4000))) {
    return 2;
  }
  Sleep(300);
  if (!IsCalm()) Tell(site, "/late", "ms", kLateMs);
  if (!Submit(site, other, "c000000000000001",
              Job("victim;24000,0,0", 1, 2000))) {
    return 2;
  }
  if (!IsCalm()) {
    if (!AwaitHeldStart(site)) return 2;
    KillNode(site, leading, SIGKILL);
    Sleep(kNodeDownMs);
    StartNode(site, leading);
    Sleep(kCutAfterMs - kNodeDownMs);
    Tell(site, "/cut", "for_ms", kCutMs);
    Note(site, std::string(kLast) + " crashes and starts again");
    Ask(site.m_workers["control"], "POST", "/restart",
        Json{{"worker", kLast}, {"down_ms", kDownMs}}.dump(), 1000);
  }
  Sleep(15000);
  return HasTwoRuns(site) ? 1 : 0;
}

}  // namespace
}  // namespace review

int main(int count, char** words) {
  review::Site site;
  if (!review::OpenSite(site, count, words)) return 2;
  const int result = review::Play(site);
  review::NoteRuns(site);
  review::EndSite(site);
  review::Note(site, "result " + std::to_string(result));
  return result;
}
