#include <catch2/catch.hpp>

#include "fakes/fake_site.h"

namespace daisyarch::fleet {

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr int kTasks = 4;
const Resources kCapacity{Millicores(4000), Mebibytes(8000), Accelerators(0)};
const WorkerId kFirst("w0");

FleetWorkerModel& WorkerOf(FakeSite& site, const WorkerId& id) {
  return *site.m_workers.at(id);
}

void AddWorkerWithLongRuns(FakeSite& site, const std::string& name) {
  AddSiteWorker(site, name, kCapacity);
  WorkerOf(site, WorkerId(name)).m_plan_run = [&site](const auto&, RunNumber) {
    ModelRun run;
    run.m_ends_at = site.m_loop.m_now + seconds(60);
    return run;
  };
}

// Cuts the worker off from all nodes.
void Cut(FakeSite& site, const WorkerId& id) {
  for (const auto& node : site.m_nodes) node->m_unreachable_workers.insert(id);
}

// Returns the poll that the leader would send now to extend the lease.
PollOrder NextPoll(FakeSite& site, const WorkerId& id) {
  Fleet& fleet = FindLeader(site)->m_node->m_leader->m_fleet;
  const Worker& worker = *FindWorker(fleet, id);
  PollOrder poll;
  poll.m_worker = id;
  poll.m_token = worker.m_token;
  poll.m_has_lease = true;
  poll.m_lease_until = LeaseDeadlineAt(fleet, worker, site.m_loop.m_now);
  return poll;
}

// Restarts the worker, whose new incarnation takes a poll that was meant for
// the one before.
void RestartWithPollOnItsWay(FakeSite& site, const WorkerId& id) {
  FleetWorkerModel& worker = WorkerOf(site, id);
  const PollOrder poll = NextPoll(site, id);
  Crash(worker, site.m_loop.m_now);
  RunFor(site.m_loop, milliseconds(300));
  Restart(worker, site.m_loop.m_now);
  REQUIRE(static_cast<bool>(Receive(worker, poll, site.m_loop.m_now)));
}

// Lets a site run long tasks on a worker that has restarted so, and adds
// another worker with room for them.
void RunTasksOnRestartedWorker(FakeSite& site) {
  site.m_routes = MakeTestRoutes();
  AddWorkerWithLongRuns(site, kFirst.value());
  for (const char* name : {"n0", "n1", "n2"}) AddSiteNode(site, name);
  RunFor(site.m_loop, seconds(40));
  SubmitToSite(site, *site.m_nodes.front(), MakeTestJob(1, kTasks));
  RunFor(site.m_loop, seconds(1));
  REQUIRE(WorkerOf(site, kFirst).m_running.size() == kTasks);
  RestartWithPollOnItsWay(site, kFirst);
  RunFor(site.m_loop, milliseconds(1400));
  REQUIRE(WorkerOf(site, kFirst).m_running.size() == kTasks);
  AddWorkerWithLongRuns(site, "w1");
}

}  // namespace

// Guards against two runs of a task at once: the worker held the longest lease,
// and the next leader waited for an ordinary one.
TEST_CASE("A takeover awaits the lease of a restarted worker") {
  FakeSite site(1);
  RunTasksOnRestartedWorker(site);
  FakeSiteNode& leader = *FindLeader(site);
  Cut(site, kFirst);
  SECTION("from a leader that stops in order") {
    StopFleetNode(*leader.m_node);
  }
  SECTION("from a leader that is killed and starts again") {
    KillSiteNode(site, leader);
    RunFor(site.m_loop, milliseconds(500));
    AddSiteNode(site, leader.m_name);
    Cut(site, kFirst);
  }
  SECTION("from a leader that is killed") { KillSiteNode(site, leader); }
  RunFor(site.m_loop, seconds(20));
  CHECK(site.m_violation == "");
  CHECK(WorkerOf(site, WorkerId("w1")).m_running.size() == kTasks);
}

}  // namespace daisyarch::fleet
