#include <catch2/catch.hpp>

#include "fakes/fake_site.h"

namespace daisyarch::fleet {

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr std::uint64_t kSeedsInCi = 12;
constexpr int kJobs = 30;
constexpr int kRestarts = 6;
constexpr Duration kDay = seconds(30);
constexpr Duration kCompletion = seconds(60);
const Resources kCapacity{Millicores(4000), Mebibytes(8000), Accelerators(0)};

// Returns the first broken invariant of the site, or an empty string.
std::string ViolationOf(const FakeSite& site) {
  return site.m_violation + site.m_repeated_task;
}

// Plays a day on which the leader's loop is late by `delay`, and nothing else
// is wrong but that workers restart.
std::string PlayLateLeader(std::uint64_t seed, Duration delay, int restarts) {
  FakeSite site(seed);
  site.m_routes = MakeTestRoutes();
  for (int number = 0; number < 5; ++number) {
    AddSiteWorker(site, "w" + std::to_string(number), kCapacity);
  }
  for (int number = 0; number < 3; ++number) {
    AddSiteNode(site, "n" + std::to_string(number));
  }
  RunFor(site.m_loop, seconds(12));
  for (int number = 0; number < kJobs; ++number) {
    RunAfter(site.m_loop, DelayBetween(site.m_loop, Duration{}, kDay),
             [&site, number] {
               SubmitToSite(site, *site.m_nodes[number % 3],
                            MakeTestJob(number, 1 + number % 6));
             });
  }
  for (int number = 0; number < restarts; ++number) {
    RunAfter(
        site.m_loop, DelayBetween(site.m_loop, Duration{}, kDay),
        [&site, number] {
          auto& worker =
              *site.m_workers.at(WorkerId("w" + std::to_string(number % 5)));
          if (!worker.m_is_up) return;
          Crash(worker, site.m_loop.m_now);
          RunAfter(site.m_loop, milliseconds(20),
                   [&site, &worker] { Restart(worker, site.m_loop.m_now); });
        });
  }
  for (const auto& node : site.m_nodes) {
    SlowSiteNode(site, *node, delay, kDay);
  }
  RunFor(site.m_loop, kDay);
  const bool has_ended = RunUntilTrue(site.m_loop, kCompletion, [&site] {
    return FindUnfinishedJob(site).empty() || !ViolationOf(site).empty();
  });
  if (!ViolationOf(site).empty()) return ViolationOf(site);
  return has_ended ? "" : "unfinished: " + FindUnfinishedJob(site);
}

}  // namespace

// Guards against a leader that takes a late answer for none and starts the task
// again.
TEST_CASE("No task is run twice while the leader's loop is late") {
  const std::uint64_t first = FirstSeed();
  for (std::uint64_t seed = first; seed < first + SeedCount(kSeedsInCi);
       ++seed) {
    for (const int delay_ms : {100, 360, 720, 900, 1400}) {
      INFO("seed " << seed << ", delay " << delay_ms << " ms");
      CHECK(PlayLateLeader(seed, milliseconds(delay_ms), 0) == "");
    }
  }
}

// The same while workers restart.
TEST_CASE("No task is run twice when workers restart under a late leader") {
  const std::uint64_t first = FirstSeed();
  for (std::uint64_t seed = first; seed < first + SeedCount(kSeedsInCi);
       ++seed) {
    for (const int delay_ms : {100, 360}) {
      INFO("seed " << seed << ", delay " << delay_ms << " ms");
      CHECK(PlayLateLeader(seed, milliseconds(delay_ms), kRestarts) == "");
    }
  }
}

}  // namespace daisyarch::fleet
