#include "soak_run.h"

#include <algorithm>
#include <boost/asio/steady_timer.hpp>
#include <filesystem>
#include <fstream>
#include <iostream>

#include "models/standin_main.h"
#include "soak_faults.h"
#include "soak_rules.h"

namespace daisyarch::soak {

namespace {

constexpr Duration kTickInterval = std::chrono::milliseconds(20);
constexpr Duration kAskInterval = std::chrono::milliseconds(100);
// Until a leader holds the claim.
constexpr Duration kStartBound = std::chrono::seconds(60);
// After the faults: orders arrive up to 12 s late, leases last up to 10 s by a
// clock that may be 2% slow, and jobs are asked for 14 s after the traffic; the
// rest is for the attempts of two steps, or a long task of 36 s, on a busy
// machine.
constexpr Duration kEndBound = std::chrono::seconds(90);
constexpr Duration kStableWindow = std::chrono::seconds(3);
// Then nothing of a cancelled job may run.
constexpr Duration kCancelWait = std::chrono::seconds(5);

enum class Phase { kStarting, kTraffic, kSettling, kCancelling, kEnded };

struct SoakRun {
  explicit SoakRun(boost::asio::io_context& loop)
      : m_site(loop), m_timer(loop) {}

  SoakSite m_site;
  SoakTraffic m_traffic;
  boost::asio::steady_timer m_timer;
  Phase m_phase = Phase::kStarting;
  TimePoint m_phase_began_at{};
  TimePoint m_next_ask_at{};
  TimePoint m_next_job_at{};
  TimePoint m_calm_at{};
};

void Enter(SoakRun& run, Phase phase, TimePoint now) {
  run.m_phase = phase;
  run.m_phase_began_at = now;
}

void BeginTraffic(SoakRun& run, TimePoint now) {
  Enter(run, Phase::kTraffic, now);
  SubmitLastingJob(run.m_site, run.m_traffic);
  SubmitLastingJob(run.m_site, run.m_traffic);
  run.m_calm_at = PlanFaults(run.m_site, run.m_traffic, now);
}

Record RecordOf(const SoakPlan& plan) {
  std::ifstream file(RecordPath(plan));
  return ReadRecord(file);
}

bool IsSettled(const SoakRun& run) {
  const auto& jobs = run.m_traffic.m_jobs;
  const bool have_ended =
      std::all_of(jobs.begin(), jobs.end(), [](const SoakJob& job) {
        return job.m_is_lasting || !job.m_is_accepted || HasEnded(job);
      });
  if (!have_ended) return false;
  const Record record = RecordOf(run.m_site.m_plan);
  return std::all_of(jobs.begin(), jobs.end(), [&record](const SoakJob& job) {
    return !job.m_is_lasting || !job.m_is_accepted || IsRunning(record, job);
  });
}

void AdvancePhase(SoakRun& run, TimePoint now) {
  const Duration elapsed = now - run.m_phase_began_at;
  switch (run.m_phase) {
    case Phase::kStarting:
      if (run.m_site.m_has_leader) return BeginTraffic(run, now);
      if (elapsed > kStartBound) Enter(run, Phase::kEnded, now);
      return;
    case Phase::kTraffic:
      if (elapsed < run.m_site.m_plan.m_traffic) {
        if (now < run.m_next_job_at) return;
        SubmitJob(run.m_site, run.m_traffic);
        run.m_next_job_at =
            now + ChooseTime(
                      run.m_site.m_plan.m_random, 50,
                      ToMilliseconds(run.m_site.m_plan.m_longest_job_interval));
        return;
      }
      if (now < run.m_calm_at + kStableWindow) return;
      run.m_traffic.m_is_calm = true;
      return Enter(run, Phase::kSettling, now);
    case Phase::kSettling:
      if (IsSettled(run)) {
        CancelLastingJobs(run.m_site, run.m_traffic);
        return Enter(run, Phase::kCancelling, now);
      }
      if (elapsed > kEndBound) Enter(run, Phase::kEnded, now);
      return;
    case Phase::kCancelling:
      if (elapsed > kCancelWait) Enter(run, Phase::kEnded, now);
      return;
    case Phase::kEnded:
      return;
  }
}

void Tick(SoakRun& run) {
  const TimePoint now = StandinNow();
  TickSite(run.m_site, now);
  if (now >= run.m_next_ask_at) {
    run.m_next_ask_at = now + kAskInterval;
    AskForLeader(run.m_site);
    AskForStates(run.m_site, run.m_traffic);
    AdvancePhase(run, now);
  }
  if (run.m_phase == Phase::kEnded || !run.m_site.m_failure.empty()) {
    return run.m_site.m_loop.stop();
  }
  run.m_timer.expires_after(kTickInterval);
  run.m_timer.async_wait([&run](boost::system::error_code code) {
    if (!code) Tick(run);
  });
}

void PrintHistory(const Record& record, const BrokenRule& broken) {
  for (const RecordLine& line : record.m_lines) {
    const bool is_of_it = line.m_task == broken.m_task ||
                          line.m_task.compare(0, broken.m_task.size() + 1,
                                              broken.m_task + ".") == 0;
    if (is_of_it) std::cout << "    " << ToString(line) << "\n";
  }
}

bool Report(const SoakRun& run) {
  const SoakPlan& plan = run.m_site.m_plan;
  const Record record = RecordOf(plan);
  const std::vector<BrokenRule> broken = CheckRules(record, run.m_traffic);
  const auto count = [&record](const std::string& event,
                               const std::string& outcome) {
    return std::count_if(record.m_lines.begin(), record.m_lines.end(),
                         [&](const RecordLine& line) {
                           return line.m_event == event &&
                                  line.m_outcome == outcome;
                         });
  };
  const auto done = count("noted", "done");
  std::cout << "seed " << plan.m_seed << ": " << plan.m_daemons << " daemons, "
            << plan.m_workers << " workers, " << run.m_traffic.m_jobs.size()
            << " jobs, " << count("start", "") << " starts, " << done
            << " done and " << count("noted", "failed")
            << " failed ends noted, " << run.m_site.m_leader_changes
            << " changes of leaders, " << broken.size() << " rules broken"
            << std::endl;
  for (const BrokenRule& rule : broken) {
    std::cout << "  " << rule.m_rule << " " << rule.m_task << ": "
              << rule.m_detail << "\n";
    PrintHistory(record, rule);
  }
  if (!run.m_site.m_failure.empty()) {
    std::cout << "  FAULT " << run.m_site.m_failure << "\n";
  }
  const bool has_played = done > 0;
  if (!has_played) std::cout << "  nothing was done\n";
  return broken.empty() && run.m_site.m_failure.empty() && has_played;
}

}  // namespace

bool RunSeed(const SoakPlan& plan) {
  boost::asio::io_context loop(1);
  SoakRun run(loop);
  run.m_site.m_plan = plan;
  bool holds = StartSite(run.m_site);
  if (holds) {
    run.m_phase_began_at = StandinNow();
    Tick(run);
    loop.run();
    holds = Report(run);
  } else {
    std::cout << "seed " << plan.m_seed << ": a stand-in did not start\n";
  }
  EndSite(run.m_site);
  if (holds && NumberFrom("SOAK_KEEP", 0) == 0) {
    std::filesystem::remove_all(plan.m_folder);
  } else {
    std::cout << "  logs and record: " << plan.m_folder << std::endl;
  }
  return holds;
}

}  // namespace daisyarch::soak
