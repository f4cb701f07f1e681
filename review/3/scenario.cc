// One job of many tasks, beside small ones. No process or link is disrupted.

#include <iostream>
#include <sstream>

#include "../standins/standins.h"

namespace review {
namespace {

constexpr int kExecutors = 8;
constexpr int kNodes = 3;
constexpr std::int64_t kTasks = 10000;
constexpr std::int64_t kTaskDemand = 100;
constexpr std::int64_t kAckMs = 4000;
constexpr std::int64_t kIdleMs = 3000;
constexpr std::int64_t kFinishMs = 14000;

std::string BodyOf(std::int64_t tasks) {
  return Json{{"spec", "work"},
              {"steps",
               {{{"count", tasks},
                 {"cpu", kTaskDemand},
                 {"mem_mb", 16},
                 {"est_ms", 300}}}}}
      .dump();
}

struct Ends {
  std::size_t m_listed = 0;
  std::size_t m_unacknowledged = 0;
};

Ends CountEnds(std::vector<std::unique_ptr<Executor>>& executors) {
  Ends ends;
  for (auto& executor : executors) {
    ends.m_listed += executor->CountEnds();
    ends.m_unacknowledged += executor->CountUnacknowledgedEnds();
  }
  return ends;
}

int Run(const Arguments& arguments) {
  Record record(arguments.m_record);
  Store store;
  std::vector<std::unique_ptr<Executor>> executors;
  for (int index = 0; index < kExecutors; ++index) {
    executors.push_back(std::make_unique<Executor>(
        store, record, "executor-" + std::to_string(index),
        Executor::Room{64000}, std::vector<std::string>{}));
    executors.back()->m_work_of = [](const std::string&) { return 300; };
  }
  WriteConfiguration(store, 3);
  Nodes nodes(record, arguments.m_root, arguments.m_folder, store, kNodes, 0);
  if (!WaitUntil(10000, [&nodes] { return nodes.IsReady(0); })) return kNotRun;
  SleepMs(3000);
  // A small job shows that the deployment works.
  const std::string first = JobId(1);
  if (Submit(record, nodes, 0, first, BodyOf(4)) != 200) return kNotRun;
  if (!WaitUntil(kFinishMs, [&] {
        return StateOf(record, nodes, 0, first) == "completed";
      })) {
    return kNotRun;
  }
  if (HasTrouble() &&
      Submit(record, nodes, 1, JobId(2), BodyOf(kTasks)) != 200) {
    return kNotRun;
  }
  // Until the executors start nothing more.
  std::size_t before = 0;
  std::int64_t changed_at = NowMs();
  WaitUntil(50000, [&] {
    const std::size_t listed = CountEnds(executors).m_listed;
    if (listed != before) changed_at = NowMs();
    before = listed;
    return NowMs() - changed_at > 2000;
  });
  // The end of the traffic.
  const std::string last = JobId(3);
  if (Submit(record, nodes, 2, last, BodyOf(4)) != 200) return kNotRun;
  SleepMs(kFinishMs);
  const std::string state = StateOf(record, nodes, 0, last);
  StateOf(record, nodes, 0, JobId(2));
  const Ends earlier = CountEnds(executors);
  bool was_idle = true;
  const std::int64_t idle_until = NowMs() + kIdleMs;
  while (NowMs() < idle_until) {
    for (auto& executor : executors) {
      if (executor->CountRunning() > 0) was_idle = false;
    }
    SleepMs(20);
  }
  const std::string state_after = StateOf(record, nodes, 0, last);
  SleepMs(kAckMs - kIdleMs + 200);
  const Ends ends = CountEnds(executors);
  const bool is_lost =
      was_idle && state != "completed" && state_after != "completed";
  const bool are_ends_ignored = ends.m_unacknowledged * 5 > earlier.m_listed;
  std::stringstream summary;
  summary << "small job 14 s after the end of the traffic: " << state
          << ", executors idle for 3 s: " << was_idle
          << "; ends listed: " << earlier.m_listed
          << ", not taken note of 4 s later: " << ends.m_unacknowledged
          << "; writes rejected for their size: " << store.m_oversized_writes;
  record.Write(summary.str());
  std::cout << summary.str() << "\n";
  return is_lost || are_ends_ignored ? kBroken : kHeld;
}

}  // namespace
}  // namespace review

int main(int count, char** words) {
  return review::Run(review::ReadArguments(count, words));
}
