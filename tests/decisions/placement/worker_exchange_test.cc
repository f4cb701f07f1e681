#include "decisions/placement/worker_exchange.h"

#include <catch2/catch.hpp>

#include "models/worker_model.h"
#include "runtime.h"

namespace daisyarch {

namespace {

constexpr Duration kTerm = std::chrono::seconds(10);
const Resources kCapacity{Millicores(4000), Mebibytes(4000), Accelerators(1)};
const WorkerId kWorker("w1");

/// An engine without a store, and one worker. Commit() commits all records.
struct EngineFixture {
  EngineFixture()
      : m_state_machines(LoadStateMachines(DAISYARCH_CHARTS).assume_value()) {
    m_engine.m_partition = PartitionId("a.0");
    m_engine.m_journal.m_epoch = Epoch(1);
    m_worker.m_capacity = kCapacity;
    ApplyListing(m_engine, Placement(),
                 {WorkerListing{kWorker, kCapacity, false}});
    Exchange();
  }

  const PlacementStateMachines& Placement() const {
    return m_state_machines.m_placement;
  }

  void Commit() {
    m_now += kMinimumCommitInterval;
    while (StartCommit(m_engine, m_now)) {
      FinishWrite(m_engine.m_journal, StoreVersion(++m_version));
      FinishCommit(m_engine);
      m_now += kMinimumCommitInterval;
    }
  }

  WorkerControl Exchange() {
    const WorkerControl control = BuildControl(m_engine, kWorker, kTerm);
    const WorkerReport report = ApplyControl(m_worker, control, m_now);
    ApplyReport(m_engine, Placement(), kWorker, report, m_now);
    return control;
  }

  JobId Submit(const Resources& demand, std::uint32_t tasks,
               Duration run_time) {
    JobRequest request;
    request.m_member = MemberId("m");
    request.m_team = TeamId("t");
    request.m_class = ClassId("c");
    request.m_key = IdempotencyKey("k" + std::to_string(++m_key_count));
    request.m_demand = demand;
    request.m_task_count = tasks;
    request.m_run_time = run_time;
    const auto outcome =
        SubmitJob(m_engine, Placement(), request, TicketId(m_key_count));
    REQUIRE(outcome);
    PlaceTasks(m_engine, Placement(), Configuration(), 1, m_now);
    Commit();
    return DeriveJobId(request.m_member, request.m_key);
  }

  Job& FindJob(JobId job) { return m_engine.m_state.m_jobs.at(job); }

  StateMachines m_state_machines;
  PartitionEngine m_engine;
  WorkerModel m_worker;
  TimePoint m_now{std::chrono::seconds(100)};
  std::uint64_t m_version = 0;
  std::uint64_t m_key_count = 0;
};

const Resources kOneCore{Millicores(1000), Mebibytes(1000), Accelerators()};

}  // namespace

TEST_CASE(
    "A start that arrives after its stop was acknowledged has no effect") {
  EngineFixture fixture;
  fixture.Submit(kOneCore, 1, std::chrono::minutes(1));
  // The message with the start is delayed in the network.
  const WorkerControl late = BuildControl(fixture.m_engine, kWorker, kTerm);
  REQUIRE(late.m_starts.size() == 1);
  const TaskId task = late.m_starts[0].m_id.m_task;
  EvictTask(fixture.m_engine, fixture.Placement(), task);
  fixture.Exchange();
  fixture.Commit();
  fixture.Exchange();
  ApplyControl(fixture.m_worker, late, fixture.m_now);
  CHECK(RunningAttempts(fixture.m_worker).empty());
}

TEST_CASE("Evicted work resumes once, from its last checkpoint") {
  EngineFixture fixture;
  const JobId job = fixture.Submit(kOneCore, 1, std::chrono::seconds(2));
  fixture.Exchange();
  fixture.m_now += std::chrono::seconds(1);
  fixture.Exchange();
  const TaskId task{job, 0};
  EvictTask(fixture.m_engine, fixture.Placement(), task);
  EvictTask(fixture.m_engine, fixture.Placement(), task);
  fixture.Exchange();
  REQUIRE(fixture.m_engine.m_state.m_tasks.at(task).m_state ==
          TaskState::kQueued);
  CHECK(fixture.m_engine.m_state.m_tasks.at(task).m_attempt == Attempt(2));
  const std::uint64_t checkpoint =
      fixture.m_engine.m_state.m_tasks.at(task).m_checkpoint;
  CHECK(checkpoint >= 10);
  PlaceTasks(fixture.m_engine, fixture.Placement(), Configuration(), 1,
             fixture.m_now);
  fixture.Commit();
  const WorkerControl resumed = fixture.Exchange();
  REQUIRE(resumed.m_starts.size() == 1);
  CHECK(resumed.m_starts[0].m_checkpoint == checkpoint);
  // The checkpoint saved half of the work: 1.1 s finish the 2 s task.
  fixture.m_now += std::chrono::milliseconds(1100);
  fixture.Exchange();
  CHECK(fixture.FindJob(job).m_finished == 1);
  CHECK(fixture.m_worker.m_finishes == 1);
}

TEST_CASE("A start is sent only once its record is durable") {
  EngineFixture fixture;
  JobRequest request;
  request.m_member = MemberId("m");
  request.m_key = IdempotencyKey("k");
  request.m_demand = kOneCore;
  REQUIRE(
      SubmitJob(fixture.m_engine, fixture.Placement(), request, TicketId(1)));
  PlaceTasks(fixture.m_engine, fixture.Placement(), Configuration(), 1,
             fixture.m_now);
  CHECK(fixture.Exchange().m_starts.empty());
  fixture.Commit();
  CHECK(fixture.Exchange().m_starts.size() == 1);
}

TEST_CASE(
    "A repeated submission is answered once the write in flight commits") {
  EngineFixture fixture;
  JobRequest request;
  request.m_member = MemberId("m");
  request.m_key = IdempotencyKey("k");
  request.m_demand = kOneCore;
  REQUIRE(
      SubmitJob(fixture.m_engine, fixture.Placement(), request, TicketId(1)));
  fixture.m_now += kMinimumCommitInterval;
  REQUIRE(StartCommit(fixture.m_engine, fixture.m_now));
  const auto repeat =
      SubmitJob(fixture.m_engine, fixture.Placement(), request, TicketId(2));
  REQUIRE(repeat);
  REQUIRE(std::holds_alternative<JobPending>(repeat.assume_value()));
  FinishWrite(fixture.m_engine.m_journal, StoreVersion(1));
  CHECK(FinishCommit(fixture.m_engine).size() == 2);
}

TEST_CASE(
    "A worker whose tasks all fail is quarantined and probed with one task") {
  EngineFixture fixture;
  fixture.m_worker.m_fails_everything = true;
  const JobId job = fixture.Submit(kOneCore, 4, std::chrono::seconds(1));
  fixture.Exchange();
  const Worker& worker = fixture.m_engine.m_state.m_workers.at(kWorker);
  CHECK(worker.m_state == WorkerState::kQuarantined);
  CHECK(!FindBestFit(fixture.m_engine.m_state.m_index, kOneCore));
  fixture.m_worker.m_fails_everything = false;
  // A worker that becomes silent in between returns to quarantine.
  fixture.m_now += kWorkerSilenceTimeout;
  CheckWorkers(fixture.m_engine, fixture.Placement(), kTerm, fixture.m_now);
  CHECK(worker.m_state == WorkerState::kSilent);
  fixture.Exchange();
  CHECK(worker.m_state == WorkerState::kQuarantined);
  fixture.m_now += kFirstQuarantine;
  fixture.Exchange();
  CheckWorkers(fixture.m_engine, fixture.Placement(), kTerm, fixture.m_now);
  CHECK(worker.m_state == WorkerState::kProbing);
  // One task probes the worker; the others follow once it has finished.
  PlaceTasks(fixture.m_engine, fixture.Placement(), Configuration(), 1,
             fixture.m_now);
  CHECK(worker.m_tasks.size() == 1);
  for (int round = 0; round < 6; ++round) {
    fixture.Commit();
    fixture.Exchange();
    fixture.m_now += std::chrono::seconds(2);
    fixture.Exchange();
    PlaceTasks(fixture.m_engine, fixture.Placement(), Configuration(), 1,
               fixture.m_now);
  }
  CHECK(worker.m_state == WorkerState::kReady);
  CHECK(fixture.FindJob(job).m_finished == 4);
}

TEST_CASE(
    "An owner that was paused queries a worker before it counts it as lost") {
  EngineFixture fixture;
  fixture.Submit(kOneCore, 1, std::chrono::minutes(10));
  fixture.Exchange();
  fixture.m_now += 2 * kTerm;
  CheckWorkers(fixture.m_engine, fixture.Placement(), kTerm, fixture.m_now);
  CHECK(fixture.m_engine.m_state.m_workers.at(kWorker).m_tasks.size() == 1);
  RecordUnansweredMessage(fixture.m_engine, kWorker);
  RecordUnansweredMessage(fixture.m_engine, kWorker);
  CheckWorkers(fixture.m_engine, fixture.Placement(), kTerm, fixture.m_now);
  CHECK(fixture.m_engine.m_state.m_workers.at(kWorker).m_tasks.empty());
}

TEST_CASE("A job larger than every worker is refused with the reason") {
  EngineFixture fixture;
  JobRequest request;
  request.m_member = MemberId("m");
  request.m_key = IdempotencyKey("k");
  request.m_demand =
      Resources{Millicores(1000), Mebibytes(5000), Accelerators()};
  const auto outcome =
      SubmitJob(fixture.m_engine, fixture.Placement(), request, TicketId(1));
  REQUIRE(!outcome);
  CHECK(outcome.assume_error().m_code == ErrorCode::kInvalidArgument);
  CHECK(outcome.assume_error().m_detail ==
        "can never run: needs more memory than the largest worker, w1");
}

TEST_CASE("Cancelling a job ends all of its 10,000 tasks and is idempotent") {
  EngineFixture fixture;
  const JobId job = fixture.Submit(kOneCore, 10000, std::chrono::minutes(10));
  fixture.Exchange();
  const std::size_t before = fixture.m_engine.m_journal.m_queue.size();
  REQUIRE(CancelJob(fixture.m_engine, fixture.Placement(), job, TicketId(9)));
  // One record covers all tasks.
  CHECK(fixture.m_engine.m_journal.m_queue.size() == before + 1);
  fixture.Commit();
  fixture.Exchange();
  fixture.Commit();
  CHECK(IsEnded(fixture.FindJob(job)));
  CHECK(fixture.FindJob(job).m_cancelled == 10000);
  CHECK(RunningAttempts(fixture.m_worker).empty());
  const auto second_cancel =
      CancelJob(fixture.m_engine, fixture.Placement(), job, TicketId(10));
  REQUIRE(second_cancel);
  CHECK(!second_cancel.assume_value());
  CHECK(FindInvariantViolation(fixture.m_engine.m_state) == "");
}

TEST_CASE(
    "A team at its quota gets no more tasks and does not block other teams") {
  EngineFixture fixture;
  Configuration configuration;
  configuration.m_teams.push_back(
      TeamQuota{TeamId("t"),
                Resources{Millicores(2000), Mebibytes(4000), Accelerators()}});
  JobRequest request;
  request.m_member = MemberId("m");
  request.m_team = TeamId("t");
  request.m_class = ClassId("c");
  request.m_key = IdempotencyKey("flood");
  request.m_demand = kOneCore;
  request.m_task_count = 100;
  REQUIRE(
      SubmitJob(fixture.m_engine, fixture.Placement(), request, TicketId(1)));
  request.m_team = TeamId("other");
  request.m_key = IdempotencyKey("few");
  request.m_task_count = 1;
  REQUIRE(
      SubmitJob(fixture.m_engine, fixture.Placement(), request, TicketId(2)));
  PlaceTasks(fixture.m_engine, fixture.Placement(), configuration, 1,
             fixture.m_now);
  const auto& usage = fixture.m_engine.m_state.m_team_usage;
  CHECK(usage.at(TeamId("t")).m_tasks == 2);
  CHECK(usage.at(TeamId("other")).m_tasks == 1);
}

}  // namespace daisyarch
