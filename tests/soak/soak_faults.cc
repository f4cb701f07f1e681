#include "soak_faults.h"

#include <algorithm>
#include <csignal>

#include "models/standin_main.h"
#include "soak_actions.h"
#include "soak_restarts.h"

namespace daisyarch::soak {

namespace {

std::uint64_t DrawDaemon(SoakSite& site) {
  Random& random = site.m_plan.m_random;
  if (NextBelow(random, 3) > 0) return kLeader;
  return NextBelow(random, site.m_daemons.size());
}

TimePoint PlanLinkFault(SoakSite& site, TimePoint at, const std::string& link,
                        LinkMode mode, Duration lasts, std::uint64_t percent,
                        Duration longest_delay) {
  return Plan(site, at, lasts + longest_delay,
              [&site, link, mode, lasts, percent, longest_delay] {
                SetLink(site, link, mode, lasts, percent, longest_delay);
              });
}

// Answers of most workers are lost for a time, so runs are unconfirmed.
TimePoint PlanLostAnswers(SoakSite& site, TimePoint at, std::int64_t lasts_ms) {
  constexpr std::uint64_t kUnhit = 4;
  Random& random = site.m_plan.m_random;
  TimePoint end = at;
  for (std::uint64_t number = 1; number <= site.m_plan.m_workers; ++number) {
    if (NextBelow(random, kUnhit) == 0) continue;
    const TimePoint begin = at + ChooseTime(random, 0, 300);
    const Duration lasts = ChooseTime(random, lasts_ms / 2, lasts_ms);
    end = std::max(
        end,
        PlanLinkFault(site, begin, WorkerName(number), LinkMode::kLoseAnswers,
                      lasts, Choose(random, kAll / 2, kAll), Duration::zero()));
  }
  return end;
}

// The leader's calls to the store have no effect; before that, they may have
// one that it does not learn of.
TimePoint PlanUnwritable(SoakSite& site, TimePoint at) {
  Random& random = site.m_plan.m_random;
  const Duration lost = NextBelow(random, 2) == 0
                            ? Duration::zero()
                            : ChooseTime(random, 100, 700);
  const Duration silent = ChooseTime(random, 2500, 4000);
  return Plan(site, at, lost + silent, [&site, lost, silent] {
    const std::string leader = DaemonOf(site, kLeader).m_node.m_name;
    SetLink(site, leader, LinkMode::kLoseAnswers, lost);
    site.m_agenda.emplace(StandinNow() + lost, [&site, leader, silent] {
      SetLink(site, leader, LinkMode::kLoseRequests, silent);
    });
  });
}

// The order of events of issue 46: starts without an answer, whose tasks wait
// until the orders can arrive late no more; they start again elsewhere while
// the leader cannot write; then a new leader gets the reports in any order.
TimePoint PlanUnstoredRuns(SoakSite& site, SoakTraffic& traffic, TimePoint at) {
  constexpr int kBursts = 5;
  constexpr Duration kBurstInterval = std::chrono::milliseconds(400);
  // After 12 s, 0.7 s for an answer and 1 s for a connection.
  constexpr std::int64_t kLatestArrivalMs = 13700;
  Random& random = site.m_plan.m_random;
  for (int burst = 0; burst < kBursts; ++burst) {
    Plan(site, at + burst * kBurstInterval, Duration::zero(),
         [&site, &traffic] { SubmitFailingJobs(site, traffic, 2); });
  }
  PlanLostAnswers(site, at, kBursts * ToMilliseconds(kBurstInterval));
  const TimePoint cut =
      at + ChooseTime(random, kLatestArrivalMs - 500, kLatestArrivalMs + 1500);
  const TimePoint end = PlanUnwritable(site, cut);
  return std::max(end,
                  PlanLostAnswers(site, cut + ChooseTime(random, 2000, 4000),
                                  ToMilliseconds(kBurstInterval)));
}

TimePoint PlanDaemonFault(SoakSite& site, TimePoint at) {
  Random& random = site.m_plan.m_random;
  const std::uint64_t daemon = DrawDaemon(site);
  const Duration pause = ChooseTime(random, 500, 8000);
  constexpr Duration kGrace = std::chrono::seconds(8);
  switch (NextBelow(random, 4)) {
    case 0:
      return Plan(site, at, kGrace,
                  [&site, daemon] { SignalDaemon(site, daemon, SIGKILL); });
    case 1:
      return Plan(site, at, kGrace,
                  [&site, daemon] { SignalDaemon(site, daemon, SIGTERM); });
    case 2:
      return Plan(site, at, Duration::zero(),
                  [&site, daemon] { SignalDaemon(site, daemon, SIGHUP); });
    default:
      return Plan(site, at, pause, [&site, daemon, pause] {
        FreezeDaemon(site, daemon, pause);
      });
  }
}

TimePoint PlanStoreFault(SoakSite& site, TimePoint at) {
  Random& random = site.m_plan.m_random;
  const Duration pause = ChooseTime(random, 300, 3000);
  if (NextBelow(random, 4) == 0) {
    return Plan(site, at, pause, [&site, pause] { FreezeStore(site, pause); });
  }
  const std::uint64_t daemon = DrawDaemon(site);
  const auto mode = static_cast<LinkMode>(Choose(random, 1, 4));
  const Duration lasts = ChooseTime(random, 2000, 4000);
  return Plan(site, at, lasts + pause, [&site, daemon, mode, lasts, pause] {
    SetLink(site, DaemonOf(site, daemon).m_node.m_name, mode, lasts, kAll,
            pause);
  });
}

TimePoint PlanWorkerFault(SoakSite& site, TimePoint at, std::uint64_t number) {
  Random& random = site.m_plan.m_random;
  const std::string worker = DrawWorker(site);
  if (NextBelow(random, 3) == 0) {
    const bool is_same = NextBelow(random, 2) == 0;
    const std::string id =
        is_same ? worker : worker + "x" + std::to_string(number);
    const Duration down = ChooseTime(random, 100, 3000);
    WorkerRestart restart;
    restart.m_worker = worker;
    restart.m_id = id;
    restart.m_down = down;
    restart.m_unreachable = down;
    return Plan(site, at, down,
                [&site, restart] { RestartWorker(site, restart); });
  }
  constexpr std::int64_t kLatestMs = 12000;
  const auto mode = static_cast<LinkMode>(Choose(random, 1, 3));
  return PlanLinkFault(site, at, worker, mode, ChooseTime(random, 500, 3000),
                       Choose(random, 20, kAll),
                       ChooseTime(random, 500, kLatestMs));
}

// One daemon does not reach some workers that the others do. Often it is the
// leader, or leads next as the present one pauses.
TimePoint PlanOneSidedCut(SoakSite& site, TimePoint at) {
  constexpr std::uint64_t kOneIn = 4;
  Random& random = site.m_plan.m_random;
  const std::uint64_t daemon = DrawDaemon(site);
  const auto mode = static_cast<LinkMode>(
      NextBelow(random, 3) == 0 ? 4 : Choose(random, 1, 2));
  const Duration lasts = ChooseTime(random, 2000, 14000);
  std::vector<std::string> workers;
  for (std::uint64_t number = 1; number <= site.m_plan.m_workers; ++number) {
    if (NextBelow(random, kOneIn) > 0) continue;
    workers.push_back(WorkerName(number));
  }
  const TimePoint end =
      Plan(site, at, lasts, [&site, daemon, mode, lasts, workers] {
        const std::string name = DaemonOf(site, daemon).m_node.m_name;
        for (const std::string& worker : workers) {
          SetLink(site, name + "." + worker, mode, lasts);
        }
      });
  if (NextBelow(random, 2) == 0) return end;
  const Duration pause = ChooseTime(random, 2500, 9000);
  return std::max(end,
                  Plan(site, at + ChooseTime(random, 0, 2000), pause,
                       [&site, pause] { FreezeDaemon(site, kLeader, pause); }));
}

}  // namespace

TimePoint PlanFaults(SoakSite& site, SoakTraffic& traffic, TimePoint start) {
  Random& random = site.m_plan.m_random;
  const TimePoint end = start + site.m_plan.m_traffic;
  constexpr Duration kEpisode = std::chrono::seconds(16);
  TimePoint calm = end;
  TimePoint at = start + ChooseTime(random, 500, 2500);
  calm = std::max(calm, PlanUnstoredRuns(site, traffic, at));
  // Each change of leaders makes tasks wait longer, so in most seeds other
  // faults begin after the first episode. In the others, all overlap.
  if (NextBelow(random, 4) == 0) {
    for (at += ChooseTime(random, 4000, 12000); at + kEpisode < end;
         at += ChooseTime(random, 4000, 12000)) {
      calm = std::max(calm, PlanUnstoredRuns(site, traffic, at));
    }
    at = start;
  } else {
    at += kEpisode;
  }
  // Their cuts last for some time.
  constexpr Duration kSeries = std::chrono::seconds(8);
  const TimePoint first = NextBelow(random, 2) == 0 ? at : start;
  calm = std::max(calm, PlanRestarts(site, traffic, first, end - kSeries));
  std::uint64_t number = 0;
  for (at += ChooseTime(random, 1000, 4000); at < end;
       at += ChooseTime(random, 500, 4000)) {
    const std::uint64_t kind = NextBelow(random, 4);
    ++number;
    if (kind == 0) calm = std::max(calm, PlanDaemonFault(site, at));
    if (kind == 1) calm = std::max(calm, PlanStoreFault(site, at));
    if (kind == 2) calm = std::max(calm, PlanWorkerFault(site, at, number));
    if (kind == 3) calm = std::max(calm, PlanOneSidedCut(site, at));
  }
  return calm;
}

}  // namespace daisyarch::soak
