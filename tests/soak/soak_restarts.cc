#include "soak_restarts.h"

#include <algorithm>
#include <csignal>

#include "soak_actions.h"

namespace daisyarch::soak {

namespace {

std::vector<std::string> DrawWorkers(SoakSite& site) {
  Random& random = site.m_plan.m_random;
  if (NextBelow(random, 2) == 0) return {DrawWorker(site)};
  const std::string zone = ZoneOf(Choose(random, 1, site.m_plan.m_workers));
  std::vector<std::string> workers;
  for (std::uint64_t number = 1; number <= site.m_plan.m_workers; ++number) {
    if (ZoneOf(number) == zone) workers.push_back(WorkerName(number));
  }
  return workers;
}

TimePoint PlanLeaderEnd(SoakSite& site, TimePoint at) {
  constexpr Duration kGrace = std::chrono::seconds(8);
  Random& random = site.m_plan.m_random;
  const Duration pause = ChooseTime(random, 2500, 9000);
  switch (NextBelow(random, 3)) {
    case 0:
      return Plan(site, at, kGrace,
                  [&site] { SignalDaemon(site, kLeader, SIGKILL); });
    case 1:
      return Plan(site, at, kGrace,
                  [&site] { SignalDaemon(site, kLeader, SIGTERM); });
    default:
      return Plan(site, at, pause,
                  [&site, pause] { FreezeDaemon(site, kLeader, pause); });
  }
}

TimePoint PlanCut(SoakSite& site, TimePoint at,
                  const std::vector<std::string>& workers) {
  Random& random = site.m_plan.m_random;
  const Duration lasts = ChooseTime(random, 2000, 12000);
  const LinkMode mode =
      NextBelow(random, 2) == 0 ? LinkMode::kClosed : LinkMode::kLoseRequests;
  return Plan(site, at, lasts, [&site, workers, mode, lasts] {
    for (const std::string& worker : workers) {
      SetLink(site, worker, mode, lasts);
    }
  });
}

TimePoint PlanSeries(SoakSite& site, SoakTraffic& traffic, TimePoint at) {
  constexpr std::uint64_t kOneLateIn = 4;
  Random& random = site.m_plan.m_random;
  const std::vector<std::string> workers = DrawWorkers(site);
  WorkerRestart restart;
  restart.m_withholds = ChooseTime(random, 300, 1500);
  restart.m_down = ChooseTime(random, 100, 900);
  // Mostly the orders reach the next life before any order that is meant for
  // it.
  restart.m_unreachable = restart.m_down + ChooseTime(random, 0, 300);
  if (NextBelow(random, kOneLateIn) == 0) {
    restart.m_latest_order = ChooseTime(random, 100, 3000);
  }
  Plan(site, at - ChooseTime(random, 1000, 3000), Duration::zero(),
       [&site, &traffic] { SubmitLongJob(site, traffic); });
  Plan(site, at, Duration::zero(), [&site, workers, restart] {
    for (const std::string& worker : workers) {
      WorkerRestart each = restart;
      each.m_worker = worker;
      each.m_id = worker;
      RestartWorker(site, each);
    }
  });
  const TimePoint back = at + restart.m_withholds + restart.m_unreachable;
  Plan(site, back, Duration::zero(),
       [&site, &traffic] { SubmitLongJob(site, traffic); });
  const TimePoint cut = back + ChooseTime(random, 300, 4000);
  // At any point, or about when the leader loses the workers.
  const TimePoint leader_ends =
      NextBelow(random, 2) == 0
          ? at + ChooseTime(random, 0, ToMilliseconds(cut - at) + 2000)
          : cut + ChooseTime(random, 0, 1000) - std::chrono::milliseconds(500);
  return std::max(PlanCut(site, cut, workers),
                  PlanLeaderEnd(site, leader_ends));
}

}  // namespace

TimePoint PlanRestarts(SoakSite& site, SoakTraffic& traffic, TimePoint start,
                       TimePoint end) {
  Random& random = site.m_plan.m_random;
  TimePoint calm = end;
  for (TimePoint at = start + ChooseTime(random, 4000, 7000); at < end;
       at += ChooseTime(random, 6000, 11000)) {
    calm = std::max(calm, PlanSeries(site, traffic, at));
  }
  return calm;
}

}  // namespace daisyarch::soak
