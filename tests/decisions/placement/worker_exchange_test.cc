#include "decisions/placement/worker_exchange.h"

#include <catch2/catch.hpp>

#include "models/worker_model.h"
#include "runtime.h"

namespace daisyarch {

namespace {

constexpr Duration kTerm = std::chrono::seconds(10);
const Resources kCapacity{Millicores(4000), Mebibytes(4000), Accelerators(1)};
const WorkerId kWorker("w1");

/// An engine whose journal commits at once, and one worker.
struct Bench {
  Bench() : m_machines(LoadMachines(DAISYARCH_CHARTS).assume_value()) {
    m_engine.m_partition = PartitionId("a.0");
    m_engine.m_journal.m_epoch = Epoch(1);
    m_worker.m_capacity = kCapacity;
    ApplyListing(m_engine, Placement(),
                 {WorkerListing{kWorker, kCapacity, false}});
    Exchange();
  }

  const PlacementMachines& Placement() const { return m_machines.m_placement; }

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
    const WorkerReport report = ObeyControl(m_worker, control, m_now);
    ApplyReport(m_engine, Placement(), kWorker, report, m_now);
    return control;
  }

  JobId Submit(const Resources& demand, std::uint32_t tasks,
               Duration run_time) {
    JobRequest request;
    request.m_member = MemberId("m");
    request.m_team = TeamId("t");
    request.m_class = ClassId("c");
    request.m_key = IdempotencyKey("k" + std::to_string(++m_keys));
    request.m_demand = demand;
    request.m_task_count = tasks;
    request.m_run_time = run_time;
    const auto outcome =
        SubmitJob(m_engine, Placement(), request, TicketId(m_keys));
    REQUIRE(outcome);
    PlaceTasks(m_engine, Placement(), Configuration(), 1, m_now);
    Commit();
    return DeriveJobId(request.m_member, request.m_key);
  }

  Job& FindJob(JobId job) { return m_engine.m_state.m_jobs.at(job); }

  Machines m_machines;
  PartitionEngine m_engine;
  WorkerModel m_worker;
  TimePoint m_now{std::chrono::seconds(100)};
  std::uint64_t m_version = 0;
  std::uint64_t m_keys = 0;
};

const Resources kOneCore{Millicores(1000), Mebibytes(1000), Accelerators()};

}  // namespace

TEST_CASE(
    "A start that arrives after its stop was acknowledged has no effect") {
  Bench bench;
  bench.Submit(kOneCore, 1, std::chrono::minutes(1));
  // The message with the start is delayed in the network.
  const WorkerControl late = BuildControl(bench.m_engine, kWorker, kTerm);
  REQUIRE(late.m_starts.size() == 1);
  const TaskId task = late.m_starts[0].m_id.m_task;
  EvictTask(bench.m_engine, bench.Placement(), task);
  bench.Exchange();
  bench.Commit();
  bench.Exchange();
  ObeyControl(bench.m_worker, late, bench.m_now);
  CHECK(RunningAttempts(bench.m_worker).empty());
}

TEST_CASE("Evicted work resumes once, from its last checkpoint") {
  Bench bench;
  const JobId job = bench.Submit(kOneCore, 1, std::chrono::seconds(2));
  bench.Exchange();
  bench.m_now += std::chrono::seconds(1);
  bench.Exchange();
  const TaskId task{job, 0};
  EvictTask(bench.m_engine, bench.Placement(), task);
  EvictTask(bench.m_engine, bench.Placement(), task);
  bench.Exchange();
  REQUIRE(bench.m_engine.m_state.m_tasks.at(task).m_state ==
          TaskState::kQueued);
  CHECK(bench.m_engine.m_state.m_tasks.at(task).m_attempt == Attempt(2));
  const std::uint64_t checkpoint =
      bench.m_engine.m_state.m_tasks.at(task).m_checkpoint;
  CHECK(checkpoint >= 10);
  PlaceTasks(bench.m_engine, bench.Placement(), Configuration(), 1,
             bench.m_now);
  bench.Commit();
  const WorkerControl resumed = bench.Exchange();
  REQUIRE(resumed.m_starts.size() == 1);
  CHECK(resumed.m_starts[0].m_checkpoint == checkpoint);
  // Half of the work was kept.
  bench.m_now += std::chrono::milliseconds(1100);
  bench.Exchange();
  CHECK(bench.FindJob(job).m_finished == 1);
  CHECK(bench.m_worker.m_finishes == 1);
}

TEST_CASE("A start is sent only once its record is durable") {
  Bench bench;
  JobRequest request;
  request.m_member = MemberId("m");
  request.m_key = IdempotencyKey("k");
  request.m_demand = kOneCore;
  REQUIRE(SubmitJob(bench.m_engine, bench.Placement(), request, TicketId(1)));
  PlaceTasks(bench.m_engine, bench.Placement(), Configuration(), 1,
             bench.m_now);
  CHECK(bench.Exchange().m_starts.empty());
  bench.Commit();
  CHECK(bench.Exchange().m_starts.size() == 1);
}

TEST_CASE("A repeated submission is answered with the write in flight") {
  Bench bench;
  JobRequest request;
  request.m_member = MemberId("m");
  request.m_key = IdempotencyKey("k");
  request.m_demand = kOneCore;
  REQUIRE(SubmitJob(bench.m_engine, bench.Placement(), request, TicketId(1)));
  bench.m_now += kMinimumCommitInterval;
  REQUIRE(StartCommit(bench.m_engine, bench.m_now));
  const auto repeat =
      SubmitJob(bench.m_engine, bench.Placement(), request, TicketId(2));
  REQUIRE(repeat);
  REQUIRE(std::holds_alternative<JobPending>(repeat.assume_value()));
  FinishWrite(bench.m_engine.m_journal, StoreVersion(1));
  CHECK(FinishCommit(bench.m_engine).size() == 2);
}

TEST_CASE("A worker that fails everything is set aside and tried again") {
  Bench bench;
  bench.m_worker.m_fails_everything = true;
  const JobId job = bench.Submit(kOneCore, 4, std::chrono::seconds(1));
  bench.Exchange();
  const Worker& worker = bench.m_engine.m_state.m_workers.at(kWorker);
  CHECK(worker.m_state == WorkerState::kSetAside);
  CHECK(!FindTightestFit(bench.m_engine.m_state.m_index, kOneCore));
  bench.m_worker.m_fails_everything = false;
  // Silence in between does not end the time aside.
  bench.m_now += kWorkerSilentAfter;
  CheckWorkers(bench.m_engine, bench.Placement(), kTerm, bench.m_now);
  CHECK(worker.m_state == WorkerState::kSilent);
  bench.Exchange();
  CHECK(worker.m_state == WorkerState::kSetAside);
  bench.m_now += kFirstSetAside;
  bench.Exchange();
  CheckWorkers(bench.m_engine, bench.Placement(), kTerm, bench.m_now);
  CHECK(worker.m_state == WorkerState::kProbing);
  // One task tries it; the others follow once it has finished.
  PlaceTasks(bench.m_engine, bench.Placement(), Configuration(), 1,
             bench.m_now);
  CHECK(worker.m_tasks.size() == 1);
  for (int round = 0; round < 6; ++round) {
    bench.Commit();
    bench.Exchange();
    bench.m_now += std::chrono::seconds(2);
    bench.Exchange();
    PlaceTasks(bench.m_engine, bench.Placement(), Configuration(), 1,
               bench.m_now);
  }
  CHECK(worker.m_state == WorkerState::kReady);
  CHECK(bench.FindJob(job).m_finished == 4);
}

TEST_CASE("An owner that was paused asks before it takes a worker for lost") {
  Bench bench;
  bench.Submit(kOneCore, 1, std::chrono::minutes(10));
  bench.Exchange();
  bench.m_now += 2 * kTerm;
  CheckWorkers(bench.m_engine, bench.Placement(), kTerm, bench.m_now);
  CHECK(bench.m_engine.m_state.m_workers.at(kWorker).m_tasks.size() == 1);
  NoteUnanswered(bench.m_engine, kWorker);
  NoteUnanswered(bench.m_engine, kWorker);
  CheckWorkers(bench.m_engine, bench.Placement(), kTerm, bench.m_now);
  CHECK(bench.m_engine.m_state.m_workers.at(kWorker).m_tasks.empty());
}

TEST_CASE("A job that can never run is refused with the reason") {
  Bench bench;
  JobRequest request;
  request.m_member = MemberId("m");
  request.m_key = IdempotencyKey("k");
  request.m_demand =
      Resources{Millicores(1000), Mebibytes(5000), Accelerators()};
  const auto outcome =
      SubmitJob(bench.m_engine, bench.Placement(), request, TicketId(1));
  REQUIRE(!outcome);
  CHECK(outcome.assume_error().m_code == ErrorCode::kInvalidArgument);
  CHECK(outcome.assume_error().m_detail ==
        "can never run: more memory than the largest worker, w1");
}

TEST_CASE("A cancelled wave of 10,000 tasks ends, and again has no effect") {
  Bench bench;
  const JobId job = bench.Submit(kOneCore, 10000, std::chrono::minutes(10));
  bench.Exchange();
  const std::size_t before = bench.m_engine.m_journal.m_queue.size();
  REQUIRE(CancelJob(bench.m_engine, bench.Placement(), job, TicketId(9)));
  // One record for the whole wave.
  CHECK(bench.m_engine.m_journal.m_queue.size() == before + 1);
  bench.Commit();
  bench.Exchange();
  bench.Commit();
  CHECK(IsEnded(bench.FindJob(job)));
  CHECK(bench.FindJob(job).m_cancelled == 10000);
  CHECK(RunningAttempts(bench.m_worker).empty());
  const auto again =
      CancelJob(bench.m_engine, bench.Placement(), job, TicketId(10));
  REQUIRE(again);
  CHECK(!again.assume_value());
  CHECK(FindViolation(bench.m_engine.m_state) == "");
}

TEST_CASE("A team's quota holds, and another team is not held back") {
  Bench bench;
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
  REQUIRE(SubmitJob(bench.m_engine, bench.Placement(), request, TicketId(1)));
  request.m_team = TeamId("other");
  request.m_key = IdempotencyKey("few");
  request.m_task_count = 1;
  REQUIRE(SubmitJob(bench.m_engine, bench.Placement(), request, TicketId(2)));
  PlaceTasks(bench.m_engine, bench.Placement(), configuration, 1, bench.m_now);
  const auto& usage = bench.m_engine.m_state.m_team_usage;
  CHECK(usage.at(TeamId("t")).m_tasks == 2);
  CHECK(usage.at(TeamId("other")).m_tasks == 1);
}

}  // namespace daisyarch
