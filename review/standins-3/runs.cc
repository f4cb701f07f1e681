#include "runs.h"

#include <sstream>

namespace review {

namespace {

void EndRuns(Runs& runs, const std::string& worker, const std::string& task,
             double at, const std::string& how) {
  for (Run& run : runs.m_runs) {
    if (run.m_worker != worker || !run.m_how.empty()) continue;
    if (!task.empty() && run.m_task != task) continue;
    run.m_end = at;
    run.m_how = how;
  }
}

}  // namespace

Runs ReadRuns(const Site& site) {
  Runs runs;
  const double end = Seconds(site);
  const double began_ms = std::chrono::duration<double, std::milli>(
                              site.m_began_at.time_since_epoch())
                              .count();
  std::ifstream record(site.m_folder + "/workers.txt");
  std::string line;
  while (std::getline(record, line)) {
    std::istringstream words(line);
    double at = 0;
    std::string event;
    std::string worker;
    std::string task;
    std::uint64_t number = 0;
    std::string how;
    words >> at >> event >> worker >> task >> number >> how;
    at = (at - began_ms) / 1000;
    if (event == "begin") runs.m_up[worker].emplace_back(at, end);
    if (event == "gone") {
      runs.m_up[worker].back().second = at;
      EndRuns(runs, worker, "", at, "gone");
    }
    if (event == "start") {
      runs.m_runs.push_back({task, number, worker, at, end, ""});
    }
    if (event == "end") EndRuns(runs, worker, task, at, how);
  }
  return runs;
}

bool IsUp(const Runs& runs, const std::string& worker, double at) {
  const auto found = runs.m_up.find(worker);
  if (found == runs.m_up.end()) return false;
  for (const auto& [begin, end] : found->second) {
    if (begin <= at && at < end) return true;
  }
  return false;
}

}  // namespace review
