#include "decisions/fleet/fleet_fixture.h"

#include "decisions/fleet/occurrences.h"

namespace daisyarch::fleet {

FleetFixture::FleetFixture()
    : m_state_machines(
          LoadFleetStateMachines(DAISYARCH_CHARTS).assume_value()) {
  m_fleet.m_state_machines = &m_state_machines;
  m_fleet.m_term = Term(2);
  // Most tests list the workers once and then advance the time by more than the
  // default limit.
  m_fleet.m_limits.m_maximum_listing_age = std::chrono::hours(1);
  Queue queue;
  queue.m_id = QueueId("batch");
  queue.m_pool = PoolId("pool");
  queue.m_maximum_attempts = 3;
  queue.m_stretch = 2.0;
  queue.m_target = std::chrono::seconds(1);
  m_fleet.m_queues.emplace(queue.m_id, queue);
}

void AddReadyWorkers(FleetFixture& fixture, int count, Millicores processors) {
  std::vector<ListedWorker> listing;
  for (int number = 0; number < count; ++number) {
    ListedWorker worker;
    worker.m_worker = WorkerId("w" + std::to_string(number));
    worker.m_address = worker.m_worker.value();
    worker.m_incarnation = Incarnation(1);
    worker.m_pool = PoolId("pool");
    worker.m_capacity =
        Resources{processors, Mebibytes(64000), Accelerators(0)};
    listing.push_back(worker);
  }
  ApplyListing(fixture.m_fleet, listing, fixture.m_now, fixture.m_now);
  TickFleet(fixture.m_fleet, fixture.m_now, 0);
  for (const ListedWorker& worker : listing) {
    Report(fixture, worker.m_worker.value(), {}, {});
  }
  ApplyRosterStored(fixture.m_fleet, MissingFromRoster(fixture.m_fleet));
  fixture.m_fleet.m_orders.clear();
}

JobPlan MakePlan(const std::string& key, std::uint32_t tasks,
                 Millicores processors) {
  JobPlan plan;
  plan.m_key = JobKey(key);
  plan.m_queue.m_id = QueueId("batch");
  StepPlan step;
  step.m_task_count = tasks;
  step.m_demand = Resources{processors, Mebibytes(100), Accelerators(0)};
  step.m_estimate = std::chrono::seconds(1);
  plan.m_steps.push_back(step);
  return plan;
}

void Submit(FleetFixture& fixture, const JobPlan& plan) {
  // Longer than the interval of the placement passes for best-effort tasks.
  fixture.m_now += std::chrono::milliseconds(60);
  AddJob(fixture.m_fleet, plan, {}, fixture.m_now);
  PlaceRuns(fixture.m_fleet, fixture.m_now);
}

void Wait(FleetFixture& fixture, Duration duration) {
  fixture.m_now += duration;
  TickFleet(fixture.m_fleet, fixture.m_now, 0);
}

void Report(FleetFixture& fixture, const std::string& worker,
            const std::vector<ActiveRun>& running,
            const std::vector<EndedRun>& ended) {
  const Worker& known = *FindWorker(fixture.m_fleet, WorkerId(worker));
  WorkerReport report;
  report.m_incarnation = Incarnation(1);
  report.m_clock =
      WorkerMilliseconds(ToMilliseconds(fixture.m_now.time_since_epoch()));
  report.m_running = running;
  report.m_ended = ended;
  ApplyReport(fixture.m_fleet, WorkerId(worker), known.m_poll_number,
              known.m_token, report, fixture.m_now);
}

void FailPoll(FleetFixture& fixture, const std::string& worker,
              PollFailure failure) {
  const Worker& known = *FindWorker(fixture.m_fleet, WorkerId(worker));
  ApplyPollFailure(fixture.m_fleet, WorkerId(worker), known.m_poll_number,
                   failure, fixture.m_now);
}

ActiveRun ActiveRunOf(const StartOrder& start) {
  ActiveRun run;
  run.m_task = start.m_task;
  run.m_run = start.m_run;
  return run;
}

EndedRun EndedRunOf(const StartOrder& start, std::uint64_t number,
                    RunOutcome outcome) {
  EndedRun run;
  run.m_number = OutcomeNumber(number);
  run.m_task = start.m_task;
  run.m_run = start.m_run;
  run.m_outcome = outcome;
  return run;
}

Task& TaskOf(FleetFixture& fixture, const TaskReference& reference) {
  Job& job = *FindJob(fixture.m_fleet, reference.m_job);
  StepRun* step_run = FindStepRun(
      job, StepRunIndex(job, reference.m_occurrence, reference.m_step));
  if (step_run != nullptr) return step_run->m_tasks[reference.m_index];
  // Its occurrence is over.
  static Task done;
  done = UnallocatedTask(RunState::kDone);
  return done;
}

}  // namespace daisyarch::fleet
