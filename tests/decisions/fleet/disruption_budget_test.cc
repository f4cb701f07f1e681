#include "decisions/fleet/disruption_budget.h"

#include <algorithm>
#include <catch2/catch.hpp>
#include <iterator>

#include "decisions/fleet/fleet_fixture.h"

namespace daisyarch::fleet {

namespace {

const ImageId kShop("shop");
const ImageId kGrinder("grinder");
constexpr std::uint8_t kAtWork = 100;

JobPlan MakeSpreadPlan(const std::string& key, const ImageId& image) {
  JobPlan plan = MakePlan(key, 2, Millicores(2000));
  StepPlan& step = plan.m_steps.front();
  step.m_kind = StepKind::kService;
  step.m_image = image;
  step.m_maximum_per_worker = 1;
  return plan;
}

// Lets both workers report their tasks as at work, and the serving ones as far
// over their target. Returns how many tasks are told to stop.
std::size_t StopsAfterReports(FleetFixture& fixture,
                              const std::vector<StartOrder>& starts) {
  Wait(fixture, std::chrono::milliseconds(700));
  fixture.m_fleet.m_orders.clear();
  for (const char* worker : {"w0", "w1"}) {
    std::vector<ActiveRun> running;
    for (const StartOrder& start : starts) {
      if (start.m_worker != WorkerId(worker)) continue;
      running.push_back(ActiveRunOf(start));
      running.back().m_progress_percent = kAtWork;
      running.back().m_load = 50;
    }
    Report(fixture, worker, running, {});
  }
  std::size_t stops = 0;
  for (const Order& order : fixture.m_fleet.m_orders) {
    if (std::holds_alternative<StopOrder>(order)) ++stops;
    const auto* limit = std::get_if<ThrottleOrder>(&order);
    if (limit != nullptr) ConfirmLimit(fixture.m_fleet, *limit);
  }
  fixture.m_fleet.m_orders.clear();
  return stops;
}

// Adds a worker "w2" that runs nothing.
void AddThirdWorker(FleetFixture& fixture) {
  Fleet& fleet = fixture.m_fleet;
  ListedWorker third = fleet.m_workers.at(WorkerId("w0")).m_listing;
  third.m_worker = WorkerId("w2");
  third.m_address = third.m_worker.value();
  ApplyListingChanges(fleet, {{third.m_worker, third}}, fixture.m_now,
                      fixture.m_now);
  TickFleet(fleet, fixture.m_now, 0);
  Report(fixture, "w2", {}, {});
  ApplyRosterStored(fleet, MissingFromRoster(fleet));
  fleet.m_orders.clear();
}

// Lets the task of `filling` that is stopping end, start on another worker, and
// report there with `percent`. Returns how many tasks are told to stop then.
std::size_t StopsAfterMove(FleetFixture& fixture,
                           const std::vector<StartOrder>& starts,
                           std::uint8_t percent) {
  const auto moving =
      std::find_if(starts.begin(), starts.end(), [&](const StartOrder& start) {
        return TaskOf(fixture, start.m_task).m_state == RunState::kStopping;
      });
  if (moving != starts.end()) {
    StepTask(fixture.m_fleet, *FindJob(fixture.m_fleet, moving->m_task.m_job),
             moving->m_task, RunEvent::kInterrupted);
    PlaceRuns(fixture.m_fleet, fixture.m_now);
    const auto again = TakeOrders<StartOrder>(fixture);
    REQUIRE(again.size() == 1);
    ApplyStartOutcome(fixture.m_fleet, again.front(), StartOutcome::kStarted,
                      fixture.m_now);
    Report(fixture, again.front().m_worker.value(),
           {ActiveRunOf(again.front())}, {});
  }
  for (const StartOrder& start : starts) {
    Task& task = TaskOf(fixture, start.m_task);
    if (start.m_task.m_job != JobKey("filling")) continue;
    if (task.m_worker == start.m_worker) continue;
    task.m_progress_percent = percent;
  }
  std::vector<StartOrder> staying;
  std::copy_if(starts.begin(), starts.end(), std::back_inserter(staying),
               [&](const StartOrder& start) {
                 return TaskOf(fixture, start.m_task).m_worker ==
                        start.m_worker;
               });
  return StopsAfterReports(fixture, staying);
}

}  // namespace

// Guards against moves of all tasks of a step at the same moment.
TEST_CASE("Moves leave as many tasks at work as their step requires") {
  const std::uint32_t missable = GENERATE(0, 1, 2);
  FleetFixture fixture;
  AddReadyWorkers(fixture, 2, Millicores(10000));
  JobPlan serving = MakeSpreadPlan("serving", kShop);
  serving.m_steps.front().m_latency_target = std::chrono::milliseconds(18);
  JobPlan filling = MakeSpreadPlan("filling", kGrinder);
  filling.m_steps.front().m_processor_use = ProcessorUse::kBestEffort;
  filling.m_steps.front().m_saves_progress = true;
  filling.m_steps.front().m_missable_tasks = missable;
  std::vector<StartOrder> starts;
  for (const JobPlan& plan : {serving, filling}) {
    Submit(fixture, plan);
    for (const StartOrder& start : TakeOrders<StartOrder>(fixture)) {
      ApplyStartOutcome(fixture.m_fleet, start, StartOutcome::kStarted,
                        fixture.m_now);
      starts.push_back(start);
    }
  }
  REQUIRE(starts.size() == 4);
  const Job& job = *FindJob(fixture.m_fleet, JobKey("filling"));
  // Neither is known to be at work yet.
  CHECK(CountOthersAway(fixture.m_fleet, job, starts.back().m_task) == 1);
  Interference& known = fixture.m_fleet.m_interference;
  known.m_baselines[kShop] = {2.2, 0.01};
  known.m_pairs[{kShop, kGrinder}] = {30, 0.1};
  std::size_t stops = 0;
  for (int report = 0; report < 6; ++report) {
    stops += StopsAfterReports(fixture, starts);
  }
  CHECK(stops == (missable == 1 ? 1 : 2));
  // Those that stay are paused, as the serving tasks are over their target.
  for (const StartOrder& start : starts) {
    const Task& task = TaskOf(fixture, start.m_task);
    if (start.m_task.m_job != JobKey("filling")) continue;
    if (task.m_state != RunState::kRunning) continue;
    CHECK(task.m_processor_limit_percent == 0);
  }
  if (missable != 1) return;
  AddThirdWorker(fixture);
  // The other task moves once the first is back at work, and not before.
  CHECK(StopsAfterMove(fixture, starts, 0) == 0);
  CHECK(StopsAfterMove(fixture, starts, kAtWork) == 1);
}

}  // namespace daisyarch::fleet
