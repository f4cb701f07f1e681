#include <catch2/catch.hpp>

#include "fakes/fake_site.h"

namespace daisyarch::fleet {

namespace {

using std::chrono::seconds;

const Resources kCapacity{Millicores(4000), Mebibytes(8000), Accelerators(0)};
// The workers' clocks are then above any that a restarted one could show.
constexpr Duration kWorkersAge = seconds(40);
constexpr Duration kRunTime = seconds(60);
constexpr Duration kCut = seconds(40);

void BuildSite(FakeSite& site, bool has_relays) {
  site.m_has_relays = has_relays;
  site.m_routes = MakeTestRoutes();
  for (int number = 0; number < 2; ++number) {
    const std::string name = "w" + std::to_string(number);
    AddSiteWorker(site, name, kCapacity);
    site.m_workers.at(WorkerId(name))->m_plan_run =
        [&site](const TaskReference&, RunNumber) {
          ModelRun run;
          run.m_ends_at = site.m_loop.m_now + kRunTime;
          return run;
        };
  }
  for (int number = 0; number < 3; ++number) {
    AddSiteNode(site, "n" + std::to_string(number));
  }
  RunFor(site.m_loop, kWorkersAge);
}

void SetReachable(FakeSite& site, const WorkerId& id, bool is_reachable) {
  for (const auto& node : site.m_nodes) {
    if (is_reachable) {
      node->m_unreachable_workers.erase(id);
      site.m_unlisted_workers.erase(id);
    } else {
      node->m_unreachable_workers.insert(id);
      site.m_unlisted_workers.insert(id);
    }
  }
}

// The worker of the first start restarts just before the order arrives, and is
// cut off from nodes and store once its new process has answered.
void RestartAtFirstStart(FakeSite& site) {
  auto has_restarted = std::make_shared<bool>(false);
  for (const auto& node : site.m_nodes) {
    auto& start = node->m_node->m_runtime.m_order_sender.m_start;
    start = [&site, has_restarted, send = start](const std::string& address,
                                                 const StartOrder& order,
                                                 auto on_answer) {
      if (std::exchange(*has_restarted, true)) {
        return send(address, order, std::move(on_answer));
      }
      const WorkerId id = order.m_worker;
      Crash(*site.m_workers.at(id), site.m_loop.m_now);
      Restart(*site.m_workers.at(id), site.m_loop.m_now);
      send(address, order, [&site, id, on_answer](const auto& answer) {
        SetReachable(site, id, false);
        RunAfter(site.m_loop, kCut,
                 [&site, id] { SetReachable(site, id, true); });
        on_answer(answer);
      });
    };
  }
}

}  // namespace

// Guards against two runs: a worker that restarts takes a start that was meant
// for its former incarnation, and holds the longest lease for it, while the
// leader counts on the lease of the former one.
TEST_CASE("A start that a restarted worker has answered runs once") {
  const bool has_relays = GENERATE(false, true);
  INFO("relays: " << has_relays);
  FakeSite site(1);
  BuildSite(site, has_relays);
  RestartAtFirstStart(site);
  SubmitToSite(site, *site.m_nodes[0], MakeTestJob(0, 1));
  RunFor(site.m_loop, kCut + 3 * kRunTime);
  CHECK(site.m_violation == "");
  CHECK(site.m_starts > 0);
  CHECK(FindUnfinishedJob(site) == "");
}

}  // namespace daisyarch::fleet
