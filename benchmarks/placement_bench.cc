#include "placement_bench.h"

#include <chrono>
#include <memory>

#include "base/random.h"
#include "chart/chart_structure.h"
#include "decisions/placement/worker_exchange.h"
#include "fakes/fake_fleet.h"
#include "job_calls.h"
#include "journal/partition_snapshot.h"
#include "models/worker_model.h"
#include "runtime.h"
#include "wire/placement_fields.h"

namespace daisyarch {

namespace {

const Resources kCapacity{Millicores(60000), Mebibytes(250000),
                          Accelerators(1)};
constexpr std::size_t kWorkersPerPartition = 250;

double MicrosecondsSince(std::chrono::steady_clock::time_point begin) {
  const std::chrono::duration<double, std::micro> elapsed =
      std::chrono::steady_clock::now() - begin;
  return elapsed.count();
}

Resources RandomDemand(Random& random) {
  return Resources{
      Millicores(static_cast<std::int64_t>(500 + NextBelow(random, 8000))),
      Mebibytes(static_cast<std::int64_t>(1000 + NextBelow(random, 40000))),
      Accelerators()};
}

/// A partition without a store: commits complete at once.
struct StorelessPartition {
  StorelessPartition(std::size_t workers, const StateMachines& machines)
      : m_state_machines(machines.m_placement) {
    std::vector<WorkerListing> listing;
    for (std::size_t index = 0; index < workers; ++index) {
      listing.push_back(WorkerListing{WorkerId("w" + std::to_string(index)),
                                      kCapacity, false});
    }
    ApplyListing(m_engine, m_state_machines, listing);
    for (const WorkerListing& entry : listing) {
      WorkerReport report;
      report.m_incarnation = Incarnation(1);
      ApplyReport(m_engine, m_state_machines, entry.m_worker, report, m_now);
    }
  }

  void Submit(const std::string& class_name, const Resources& demand,
              std::uint32_t tasks, Duration start_within) {
    JobRequest request;
    request.m_member = MemberId("m");
    request.m_team = TeamId("t");
    request.m_class = ClassId(class_name);
    request.m_key = IdempotencyKey(std::to_string(++m_last_key));
    request.m_demand = demand;
    request.m_task_count = tasks;
    request.m_start_within = start_within;
    (void)SubmitJob(m_engine, m_state_machines, request, TicketId(m_last_key));
  }

  std::size_t PlaceAndCommit(const Configuration& configuration) {
    const std::size_t placed =
        PlaceTasks(m_engine, m_state_machines, configuration, 1, m_now);
    m_now += kMinimumCommitInterval;
    while (StartCommit(m_engine, m_now)) {
      FinishWrite(m_engine.m_journal, StoreVersion(1));
      FinishSnapshot(m_engine.m_journal,
                     m_engine.m_journal.m_in_flight.m_sequence);
      FinishCommit(m_engine);
      m_now += kMinimumCommitInterval;
    }
    return placed;
  }

  const PlacementStateMachines& m_state_machines;
  PartitionEngine m_engine;
  TimePoint m_now{std::chrono::seconds(100)};
  std::uint64_t m_last_key = 0;
};

/// Returns the mean time per task start in one partition, in microseconds. A
/// fleet consists of partitions of the same size, so its own size has no
/// effect.
double MeasureStartTime(std::size_t workers, const StateMachines& machines) {
  constexpr std::uint32_t kTasks = 2000;
  StorelessPartition partition(workers, machines);
  Random random{1};
  for (std::uint32_t index = 0; index < kTasks / 10; ++index) {
    const Resources demand{
        Millicores(static_cast<std::int64_t>(100 + NextBelow(random, 100))),
        Mebibytes(100), Accelerators()};
    partition.Submit("c", demand, 10, std::chrono::seconds(5));
  }
  const auto begin = std::chrono::steady_clock::now();
  std::size_t placed = 0;
  while (const std::size_t placed_in_pass =
             partition.PlaceAndCommit(Configuration())) {
    placed += placed_in_pass;
  }
  return MicrosecondsSince(begin) / static_cast<double>(placed);
}

/// Places each demand on the fitting worker with the fewest free processors and
/// returns the number of placed demands.
std::size_t PlaceByLinearScan(const std::vector<Resources>& demands,
                              std::vector<Resources> free) {
  std::size_t placed = 0;
  for (const Resources& demand : demands) {
    Resources* best = nullptr;
    for (Resources& capacity : free) {
      if (!Fits(demand, capacity)) continue;
      if (best == nullptr || capacity.m_processors < best->m_processors) {
        best = &capacity;
      }
    }
    if (best == nullptr) continue;
    *best = *best - demand;
    ++placed;
  }
  return placed;
}

void BenchPacking(BenchTable& table, const StateMachines& machines) {
  constexpr std::size_t kWorkers = 50;
  constexpr int kTasks = 2000;
  constexpr double kMinimumPackingRatio = 0.98;
  Random random{2};
  std::vector<Resources> demands;
  StorelessPartition partition(kWorkers, machines);
  for (int index = 0; index < kTasks; ++index) {
    demands.push_back(RandomDemand(random));
    partition.Submit("c", demands.back(), 1, std::chrono::seconds(5));
    partition.PlaceAndCommit(Configuration());
  }
  std::size_t placed = 0;
  for (const auto& [id, worker] : partition.m_engine.m_state.m_workers) {
    placed += worker.m_tasks.size();
  }
  const std::size_t placed_by_scan =
      PlaceByLinearScan(demands, std::vector<Resources>(kWorkers, kCapacity));
  AddBoundedFigure(
      table, "placement", "tasks placed, relative to a linear best-fit scan",
      static_cast<double>(placed) / static_cast<double>(placed_by_scan),
      "ratio", BoundKind::kAtLeast, kMinimumPackingRatio);
}

/// Fills the partition with batch work, then measures how long urgent tasks
/// wait to be placed.
void BenchUrgentTasks(BenchTable& table, const StateMachines& machines) {
  constexpr double kMaximumUrgentWaitSeconds = 2.8;
  constexpr int kRounds = 40;
  StorelessPartition partition(kWorkersPerPartition, machines);
  Configuration configuration;
  ClassTarget urgent;
  urgent.m_class = ClassId("urgent");
  urgent.m_kind = ClassKind::kBatch;
  urgent.m_within = std::chrono::milliseconds(2800);
  urgent.m_keep_percent = 20;
  configuration.m_classes = {urgent};
  const Resources demand{Millicores(1000), Mebibytes(1000), Accelerators()};
  // Runs urgent tasks first, so that the class has a recent peak demand.
  partition.Submit("urgent", demand, 2000, std::chrono::milliseconds(2800));
  partition.PlaceAndCommit(configuration);
  partition.PlaceAndCommit(configuration);
  auto& tasks = partition.m_engine.m_state.m_tasks;
  std::vector<AttemptEnded> outcomes;
  for (const auto& [id, task] : tasks) {
    outcomes.push_back(
        AttemptEnded{id, task.m_attempt, AttemptOutcome::kFinished, 0});
  }
  for (const AttemptEnded& outcome : outcomes) {
    CommitRecord(partition.m_engine, partition.m_state_machines, outcome);
  }
  for (int index = 0; index < 3; ++index) {
    partition.Submit("batch", demand, 10000, std::chrono::hours(8));
  }
  while (partition.PlaceAndCommit(configuration) > 0) {
  }
  double longest_wait = 0;
  for (int round = 0; round < kRounds; ++round) {
    const TimePoint submitted = partition.m_now;
    partition.Submit("urgent", demand, 50, std::chrono::milliseconds(2800));
    std::size_t placed = 0;
    while (placed < 50 &&
           partition.m_now < submitted + std::chrono::minutes(1)) {
      placed += partition.PlaceAndCommit(configuration);
    }
    const std::chrono::duration<double> wait = partition.m_now - submitted;
    longest_wait = std::max(longest_wait, wait.count());
  }
  AddBoundedFigure(
      table, "placement", "longest wait of urgent tasks behind batch work",
      longest_wait, "s", BoundKind::kAtMost, kMaximumUrgentWaitSeconds);
}

/// Store calls per second.
struct CallRates {
  double m_reads = 0;
  double m_writes = 0;
};

CallRates MeasureCallRates(FakeFleet& fleet, Duration duration) {
  const std::uint64_t reads = fleet.m_platform.m_store.m_reads;
  const std::uint64_t writes = fleet.m_platform.m_store.m_writes;
  RunFor(fleet.m_loop, duration);
  const std::chrono::duration<double> seconds = duration;
  return CallRates{
      static_cast<double>(fleet.m_platform.m_store.m_reads - reads) /
          seconds.count(),
      static_cast<double>(fleet.m_platform.m_store.m_writes - writes) /
          seconds.count()};
}

CallRates MeasureIdleCallRates(int nodes) {
  FakeFleet fleet(1);
  for (int index = 0; index < nodes; ++index) {
    AddNode(fleet, MakeTestSettings("n" + std::to_string(100 + index),
                                    index % 2 == 0 ? "a" : "b", {"a", "b"}));
  }
  RunFor(fleet.m_loop, std::chrono::seconds(30));
  SetTarget(fleet, *fleet.m_nodes.front(),
            ClassTarget{ClassId("quotes"), ClassKind::kRequest,
                        std::chrono::seconds(1)});
  RunFor(fleet.m_loop, std::chrono::seconds(30));
  return MeasureCallRates(fleet, std::chrono::seconds(60));
}

/// Measures the store calls of one partition that starts `rate` tasks per
/// second.
CallRates MeasureStartCallRates(int rate) {
  FakeFleet fleet(1);
  for (int index = 0; index < 20; ++index) {
    AddWorker(fleet, "w" + std::to_string(index), "a", kCapacity);
  }
  FakeNode& node = AddNode(fleet, MakeTestSettings("n1", "a", {"a"}));
  RunFor(fleet.m_loop, std::chrono::seconds(10));
  constexpr int kSeconds = 30;
  constexpr int kBatchesPerSecond = 20;
  for (int batch = 0; batch < kSeconds * kBatchesPerSecond; ++batch) {
    RunAfter(fleet.m_loop, std::chrono::milliseconds(50) * batch,
             [&node, batch, rate] {
               JobRequest request;
               request.m_member = MemberId("m");
               request.m_class = ClassId("c");
               request.m_key = IdempotencyKey(std::to_string(batch));
               request.m_demand =
                   Resources{Millicores(1000), Mebibytes(10), Accelerators()};
               request.m_task_count =
                   static_cast<std::uint32_t>(rate / kBatchesPerSecond);
               request.m_run_time = std::chrono::seconds(5);
               SubmitJobToOwner(node.m_services->m_partitions, request,
                                [](const auto&) {});
             });
  }
  return MeasureCallRates(fleet, std::chrono::seconds(kSeconds));
}

}  // namespace

void BenchPlacement(BenchTable& table) {
  const auto machines = LoadStateMachines(DAISYARCH_CHARTS);
  for (const std::size_t workers : {50, 250, 1000, 4000, 15000}) {
    if (table.m_is_short && workers > 1000) continue;
    AddFigure(table, "placement",
              "time per task start, partition of " + std::to_string(workers) +
                  " workers",
              MeasureStartTime(workers, machines.assume_value()), "us");
  }
  BenchPacking(table, machines.assume_value());
  BenchUrgentTasks(table, machines.assume_value());
}

void BenchStoreCalls(BenchTable& table) {
  constexpr double kMaximumWritesPerSecond = 5;
  for (const int nodes : {2, 4, 8, 16}) {
    const CallRates rates = MeasureIdleCallRates(nodes);
    const std::string size = std::to_string(nodes) + " idle nodes";
    AddFigure(table, "store", "reads, " + size, rates.m_reads, "1/s");
    AddFigure(table, "store", "writes, " + size, rates.m_writes, "1/s");
  }
  for (const int rate : {20, 60, 200}) {
    const CallRates rates = MeasureStartCallRates(rate);
    AddBoundedFigure(table, "store",
                     "writes, one partition at " + std::to_string(rate) +
                         " starts per second",
                     rates.m_writes, "1/s", BoundKind::kAtMost,
                     kMaximumWritesPerSecond);
  }
}

void BenchMessages(BenchTable& table) {
  const TaskId task{JobId(0x123456789abcdef0ULL), 1000};
  WorkerReport report;
  report.m_incarnation = Incarnation(1796369729193ULL);
  const auto empty_report_size =
      static_cast<double>(Encode(report).dump().size());
  constexpr int kAttempts = 20;
  for (int index = 0; index < kAttempts; ++index) {
    report.m_attempts.push_back(AttemptReport{AttemptId{task, Attempt(1)},
                                              AttemptStatus::kRunning, 100});
  }
  const auto full_report_size =
      static_cast<double>(Encode(report).dump().size());
  AddFigure(table, "messages", "a worker's report without tasks",
            empty_report_size, "B");
  AddFigure(table, "messages", "each attempt in a report",
            (full_report_size - empty_report_size) / kAttempts, "B");
  AddFigure(table, "messages", "a control message without orders",
            static_cast<double>(Encode(WorkerControl()).dump().size()), "B");
  JournalBatch batch;
  const auto empty_batch_size =
      static_cast<double>(WriteCbor(Encode(batch)).size());
  batch.m_records.emplace_back(TaskAssigned{
      task, Attempt(1), WorkerId("richmond-r12-w34"), Incarnation(1796369U)});
  batch.m_records.emplace_back(
      AttemptEnded{task, Attempt(1), AttemptOutcome::kFinished, 100});
  AddFigure(
      table, "messages", "the journal records of a task's start and end",
      static_cast<double>(WriteCbor(Encode(batch)).size()) - empty_batch_size,
      "B");
  PartitionState state;
  Job job;
  job.m_id = task.m_job;
  job.m_request.m_task_count = 1000;
  state.m_jobs[job.m_id] = job;
  for (std::uint32_t index = 0; index < 1000; ++index) {
    Task entry;
    entry.m_id = TaskId{job.m_id, index};
    state.m_tasks[entry.m_id] = entry;
  }
  AddFigure(table, "messages", "a task in a snapshot",
            static_cast<double>(EncodeSnapshot(state)[0].size()) / 1000, "B");
}

void BenchChart(BenchTable& table) {
  constexpr int kSteps = 200000;
  const auto machines = LoadStateMachines(DAISYARCH_CHARTS);
  const PeerStateMachine& machine = machines.assume_value().m_peer;
  Peer peer;
  const auto begin = std::chrono::steady_clock::now();
  for (int step = 0; step < kSteps; ++step) {
    PeerContext context{peer, TimePoint(Duration(step))};
    machine.Step(
        peer.m_state,
        step % 3 == 0 ? PeerEvent::kTimedOut : PeerEvent::kMessageReceived,
        context);
  }
  const double compiled_step = MicrosecondsSince(begin) / kSteps;
  const auto chart =
      ParseChartFile(std::string(DAISYARCH_CHARTS) + "/peer.yaml");
  const ChartDefinition& definition = chart.assume_value();
  const auto by_name_begin = std::chrono::steady_clock::now();
  std::size_t found = 0;
  for (int step = 0; step < kSteps / 10; ++step) {
    const auto leaf = FindState(definition, "alive");
    const auto handling = FindHandlingState(
        definition, *leaf, step % 3 == 0 ? "timed_out" : "message_received");
    found += handling.value_or(0);
  }
  const double by_name_step =
      MicrosecondsSince(by_name_begin) / (kSteps / 10.0);
  AddFigure(table, "chart", "a step of a compiled chart", compiled_step * 1000,
            "ns");
  AddFigure(table, "chart", "a step by names, relative to a compiled chart",
            found > 0 ? by_name_step / compiled_step : 0, "ratio");
}

}  // namespace daisyarch
