#include <csignal>
#include <cstdio>
#include <map>
#include <mutex>
#include <nlohmann/json.hpp>
#include <string>
#include <thread>
#include <vector>

#include "case_site.h"
#include "runs.h"

// Clients hand in jobs that last while the store is silent for a moment. Those
// that get no answer soon leave, and cancel what they have sent.

namespace review {
namespace {

using Json = nlohmann::json;

constexpr int kWorkers = 6;
// As the site files have it: platform_down, silent, for_s 4.5 at most.
constexpr int kSilentMs = 1500;
// As the site files have it: give_up, x 900 (ms).
constexpr int kPatienceMs = 900;
constexpr int kDeadlineMs = 3000;
// A job each 85 ms, as on the site fsce-daisy.
constexpr int kSpacingMs = 85;
constexpr int kJobs = 60;
constexpr int kFirstSilent = 20;
// The bounds cancel_ms, stop_ms and stable_window_ms.
constexpr double kCancel = 3.0;
constexpr double kStop = 0.2;
constexpr double kStable = 3.0;

struct Job {
  std::string m_id;
  bool m_is_accepted = false;  ///< A 2xx answer has come.
  double m_cancelled_at = -1;  ///< The first 2xx or 410 to a DELETE.
  int m_cancel_status = 0;
};

struct Case {
  Site m_site;
  std::mutex m_mutex;
  std::vector<Job> m_jobs;
  double m_silent_until = 0;
};

void Say(Case& play, const std::string& line) {
  const std::lock_guard<std::mutex> lock(play.m_mutex);
  Note(play.m_site, line);
}

std::string LastingJob(const std::string& id) {
  const Json step = {{"count", 1},
                     {"cpu", 200},
                     {"mem_mb", 100},
                     {"est_ms", 400},
                     {"long_running", true}};
  return Json{{"spec", id + ";0,0,0"}, {"steps", {step}}}.dump();
}

// Repeats the cancel at the next node until it is acknowledged.
void Cancel(Case& play, Job& job, std::size_t node_number) {
  for (int tries = 0; tries < 20; ++tries) {
    const Node& node = play.m_site.m_nodes[++node_number % 3];
    const Answer answer =
        Ask(node.m_callers, "DELETE", "/jobs/" + job.m_id, "", kDeadlineMs);
    Say(play, "DELETE " + job.m_id + " at " + node.m_name + " -> " +
                  std::to_string(answer.m_status));
    if (answer.m_status / 100 != 2 && answer.m_status != 410) {
      Sleep(200);
      continue;
    }
    job.m_cancel_status = answer.m_status;
    job.m_cancelled_at = Seconds(play.m_site);
    return;
  }
}

// The client says that it waits for three seconds, and leaves before.
void PlayClient(Case& play, std::size_t number) {
  Job& job = play.m_jobs[number];
  const Node& node = play.m_site.m_nodes[number % 3];
  const Answer answer =
      AskAndLeave(node.m_callers, "POST", "/jobs/" + job.m_id,
                  LastingJob(job.m_id), kDeadlineMs, kPatienceMs);
  Say(play, "POST " + job.m_id + " at " + node.m_name + " -> " +
                (answer.m_status == 0 ? "no answer, the client leaves"
                                      : std::to_string(answer.m_status)));
  job.m_is_accepted = answer.m_status / 100 == 2;
  if (answer.m_status == 0) Cancel(play, job, number);
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

void Silence(Case& play) {
  Site& site = play.m_site;
  Say(play, "the store is silent for " + std::to_string(kSilentMs) + " ms");
  play.m_silent_until = Seconds(site) + kSilentMs / 1000.0;
  Ask(site.m_store["control"], "POST", "/silent",
      Json{{"for_ms", kSilentMs}}.dump(), 1000);
}

// Returns whether a task of the job started too late, or ran on, after its
// cancelling was acknowledged.
bool IsBroken(Case& play, const Runs& runs, const Job& job) {
  if (job.m_cancelled_at < 0) return false;
  const double over_at = std::max(job.m_cancelled_at + kCancel + kStop,
                                  play.m_silent_until + kStable + kStop);
  for (const Run& run : runs.m_runs) {
    if (run.m_task.compare(0, job.m_id.size(), job.m_id) != 0) continue;
    if (run.m_end <= over_at) continue;
    Say(play, job.m_id + ": DELETE answered with " +
                  std::to_string(job.m_cancel_status) + " at " +
                  std::to_string(job.m_cancelled_at) + ", " + run.m_task +
                  " runs from " + std::to_string(run.m_begin) + " to " +
                  std::to_string(run.m_end) +
                  (run.m_how.empty() ? " and on" : ""));
    return true;
  }
  return false;
}

int Play(Case& play) {
  Site& site = play.m_site;
  if (!Begin(play)) return 2;
  Sleep(3000);
  for (int number = 0; number < kJobs; ++number) {
    char id[17];
    std::snprintf(id, sizeof id, "e%015x", number);
    play.m_jobs.push_back({id});
  }
  std::vector<std::thread> clients;
  for (int number = 0; number < kJobs; ++number) {
    if (number == kFirstSilent && !IsCalm()) Silence(play);
    clients.emplace_back(PlayClient, std::ref(play),
                         static_cast<std::size_t>(number));
    Sleep(kSpacingMs);
  }
  for (std::thread& client : clients) client.join();
  Sleep(15000);
  const Runs runs = ReadRuns(site);
  int accepted = 0;
  int cancelled = 0;
  int broken = 0;
  for (const Job& job : play.m_jobs) {
    accepted += job.m_is_accepted ? 1 : 0;
    cancelled += job.m_cancelled_at >= 0 ? 1 : 0;
    broken += IsBroken(play, runs, job) ? 1 : 0;
  }
  Say(play, std::to_string(accepted) + " jobs accepted, " +
                std::to_string(cancelled) + " cancelled, " +
                std::to_string(broken) + " of these run on");
  if (accepted < kFirstSilent / 2) return 2;
  return broken > 0 ? 1 : 0;
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
