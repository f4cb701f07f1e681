#include "decisions/fleet/near_place.h"

#include <catch2/catch.hpp>

#include "decisions/fleet/fleet_fixture.h"

namespace daisyarch::fleet {

namespace {

constexpr Millicores kCore{1000};
constexpr Duration kRunTime = std::chrono::seconds(1);
constexpr int kNearRuns = 8;

// The worker "w0" is near the data and full; "w1" is free.
struct FullNearRack : FleetFixture {
  FullNearRack() {
    AddReadyWorkers(*this, 2, kCore * kNearRuns);
    SetLabels("w0", {"near"});
    SetLabels("w1", {"far"});
    JobPlan plan = MakePlan("running", kNearRuns, kCore);
    plan.m_steps.front().m_required_label = "near";
    Submit(*this, plan);
    m_running = TakeOrders<StartOrder>(*this);
    REQUIRE(m_running.size() == kNearRuns);
    m_now += kRunTime / 2;
  }

  void SetLabels(const std::string& id, std::vector<std::string> labels) {
    Worker& worker = *FindWorker(m_fleet, WorkerId(id));
    worker.m_listing.m_labels = std::move(labels);
    UpdateWorkerIndex(m_fleet, worker);
  }

  // Returns the starts.
  std::vector<StartOrder> SubmitNear(const std::string& key,
                                     std::uint32_t tasks,
                                     Duration estimate = kRunTime) {
    JobPlan plan = MakePlan(key, tasks, kCore);
    plan.m_steps.front().m_data_rack = "near";
    plan.m_steps.front().m_estimate = estimate;
    Submit(*this, plan);
    return TakeOrders<StartOrder>(*this);
  }

  std::vector<StartOrder> WaitAndPlace(Duration duration) {
    Wait(*this, duration);
    PlaceRuns(m_fleet, m_now);
    return TakeOrders<StartOrder>(*this);
  }

  // Returns the events of the name and discards all events.
  std::vector<NearWaitEvent> TakeEvents(const std::string& name) {
    std::vector<NearWaitEvent> taken;
    for (const FleetEvent& event : m_fleet.m_events) {
      if (event.m_name == name) taken.push_back(*event.m_near_wait);
    }
    m_fleet.m_events.clear();
    return taken;
  }

  std::vector<StartOrder> m_running;
};

NearOutlook OutlookOfRuns(std::size_t runs, std::uint32_t ahead) {
  NearOutlook outlook;
  outlook.m_rooms.assign(runs, {Duration{}, kRunTime, 1.0});
  outlook.m_ahead = ahead;
  outlook.m_gain = kRunTime / 2;
  outlook.m_longest = kRunTime;
  return outlook;
}

}  // namespace

TEST_CASE("On a hot rack most steps give up near places at once") {
  std::uint32_t waiting = 0;
  for (int step = 0; step < 100; ++step) {
    if (DecideNearWait(OutlookOfRuns(40, waiting), 4)) waiting += 4;
  }
  // Twenty places come free before a wait has cost its gain.
  CHECK(waiting >= 8);
  CHECK(waiting <= 20);
}

TEST_CASE("All waiting tasks of a step wait for near places, or none does") {
  FullNearRack rack;
  CHECK(rack.SubmitNear("wide", 8).size() == 8);
  CHECK(rack.TakeEvents("near_wait_begun").empty());
}

TEST_CASE("A task that waits takes the near place that comes free") {
  FullNearRack rack;
  CHECK(rack.SubmitNear("job", 1).empty());
  CHECK(rack.TakeEvents("near_wait_begun").size() == 1);
  Wait(rack, std::chrono::milliseconds(100));
  Report(rack, "w0", {}, {EndedRunOf(rack.m_running[0], 1, RunOutcome::kDone)});
  const auto starts = rack.WaitAndPlace(Duration{});
  REQUIRE(starts.size() == 1);
  CHECK(starts[0].m_worker == WorkerId("w0"));
  const auto paid = rack.TakeEvents("near_wait_paid");
  REQUIRE(paid.size() == 1);
  CHECK(paid[0].m_wait == std::chrono::milliseconds(100));
  CHECK(rack.m_fleet.m_near_waits.m_timers.empty());
  CHECK(rack.m_fleet.m_near_waits.m_tasks_by_rack.empty());
}

TEST_CASE("No task waits beyond its stated end, and none waits twice") {
  FullNearRack rack;
  REQUIRE(rack.SubmitNear("job", 1).empty());
  const Duration wait = rack.TakeEvents("near_wait_begun").at(0).m_wait;
  CHECK(wait <= kRunTime / 2);
  CHECK(rack.WaitAndPlace(wait / 2).empty());
  CHECK(rack.WaitAndPlace(wait / 2 - Duration(1)).empty());
  Wait(rack, Duration(1));
  CHECK(rack.m_fleet.m_needs_placement);
  const auto starts = rack.WaitAndPlace(Duration{});
  REQUIRE(starts.size() == 1);
  CHECK(starts[0].m_worker == WorkerId("w1"));
  CHECK(rack.TakeEvents("near_wait_given_up").size() == 1);
  ApplyStartOutcome(rack.m_fleet, starts[0], StartOutcome::kRefused,
                    rack.m_now);
  CHECK(rack.WaitAndPlace(std::chrono::milliseconds(300)).size() == 1);
  CHECK(rack.TakeEvents("near_wait_begun").empty());
}

TEST_CASE("Free workers elsewhere go to others while a task waits") {
  FullNearRack rack;
  CHECK(rack.SubmitNear("job", 1).empty());
  Submit(rack, MakePlan("other", 2, kCore));
  const auto starts = TakeOrders<StartOrder>(rack);
  REQUIRE(starts.size() == 2);
  CHECK(starts[0].m_task.m_job == JobKey("other"));
  CHECK(starts[1].m_task.m_job == JobKey("other"));
}

TEST_CASE("Stragglers on the near rack are not waited for") {
  FullNearRack rack;
  rack.m_now += kRunTime * 3;
  CHECK(rack.SubmitNear("job", 1).size() == 1);
}

TEST_CASE("A rack that leaves ends the wait at once") {
  FullNearRack rack;
  REQUIRE(rack.SubmitNear("job", 1).empty());
  Worker& near = *FindWorker(rack.m_fleet, WorkerId("w0"));
  near.m_listing.m_is_leaving = true;
  UpdateWorkerIndex(rack.m_fleet, near);
  const auto starts = rack.WaitAndPlace(Duration{});
  REQUIRE(starts.size() == 1);
  CHECK(starts[0].m_worker == WorkerId("w1"));
  CHECK(rack.TakeEvents("near_wait_rack_left").size() == 1);
}

TEST_CASE("A job that meets its objective elsewhere does so after its wait") {
  FullNearRack rack;
  Queue& queue = rack.m_fleet.m_queues.at(QueueId("batch"));
  queue.m_stretch = 1.0;
  queue.m_target = kRunTime * 6 / 10;
  // Elsewhere the job takes half as long again.
  CHECK(rack.SubmitNear("job", 1).empty());
  CHECK(rack.TakeEvents("near_wait_begun").at(0).m_wait <= kRunTime / 10);
  queue.m_target = kRunTime / 2;
  CHECK(rack.SubmitNear("urgent", 1).size() == 1);
}

TEST_CASE("Estimates that are ten times off cost a bounded wait") {
  FullNearRack rack;
  const bool is_too_long = GENERATE(true, false);
  const Duration estimate = is_too_long ? kRunTime * 10 : kRunTime / 10;
  FindJob(rack.m_fleet, JobKey("running"))->m_plan.m_steps[0].m_estimate =
      estimate;
  rack.m_now += kRunTime / 2;
  const auto starts = rack.SubmitNear("job", 1, estimate);
  // What runs by now has outlived the short estimate.
  CHECK(starts.size() == (is_too_long ? 0 : 1));
  for (const NearWaitEvent& event : rack.TakeEvents("near_wait_begun")) {
    CHECK(event.m_wait <= std::chrono::seconds(1));
  }
}

TEST_CASE("Some steps never wait for a near place") {
  FleetFixture fixture;
  StepPlan step;
  step.m_data_rack = "near";
  CHECK(MayWaitForNearPlace(fixture.m_fleet, step));
  StepPlan other = step;
  SECTION("without a data rack") { other.m_data_rack.clear(); }
  SECTION("lasting") { other.m_kind = StepKind::kService; }
  SECTION("serving") { other.m_latency_target = kRunTime; }
  SECTION("gang") { other.m_is_gang = true; }
  SECTION("limited per worker") { other.m_maximum_per_worker = 2; }
  SECTION("best-effort") { other.m_processor_use = ProcessorUse::kBestEffort; }
  SECTION("no slowdown") { fixture.m_fleet.m_limits.m_remote_slowdown = 1.0; }
  CHECK_FALSE(MayWaitForNearPlace(fixture.m_fleet, other));
}

}  // namespace daisyarch::fleet
