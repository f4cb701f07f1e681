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

/// A partition without a store: records count as durable at once.
struct LonePartition {
  LonePartition(std::size_t workers, const Machines& machines)
      : m_machines(machines.m_placement) {
    std::vector<WorkerListing> listing;
    for (std::size_t index = 0; index < workers; ++index) {
      listing.push_back(WorkerListing{WorkerId("w" + std::to_string(index)),
                                      kCapacity, false});
    }
    ApplyListing(m_engine, m_machines, listing);
    for (const WorkerListing& entry : listing) {
      WorkerReport report;
      report.m_incarnation = Incarnation(1);
      ApplyReport(m_engine, m_machines, entry.m_worker, report, m_now);
    }
  }

  void Submit(const std::string& class_name, const Resources& demand,
              std::uint32_t tasks, Duration start_within) {
    JobRequest request;
    request.m_member = MemberId("m");
    request.m_team = TeamId("t");
    request.m_class = ClassId(class_name);
    request.m_key = IdempotencyKey(std::to_string(++m_keys));
    request.m_demand = demand;
    request.m_task_count = tasks;
    request.m_start_within = start_within;
    (void)SubmitJob(m_engine, m_machines, request, TicketId(m_keys));
  }

  std::size_t Place(const Configuration& configuration) {
    const std::size_t placed =
        PlaceTasks(m_engine, m_machines, configuration, 1, m_now);
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

  const PlacementMachines& m_machines;
  PartitionEngine m_engine;
  TimePoint m_now{std::chrono::seconds(100)};
  std::uint64_t m_keys = 0;
};

// Starts in one partition of the fleet: a fleet is partitions of the same
// size, so the fleet's size does not enter.
double StartCost(std::size_t workers, const Machines& machines) {
  constexpr std::uint32_t kTasks = 2000;
  LonePartition partition(workers, machines);
  Random random{1};
  for (std::uint32_t index = 0; index < kTasks / 10; ++index) {
    const Resources demand{
        Millicores(static_cast<std::int64_t>(100 + NextBelow(random, 100))),
        Mebibytes(100), Accelerators()};
    partition.Submit("c", demand, 10, std::chrono::seconds(5));
  }
  const auto begin = std::chrono::steady_clock::now();
  std::size_t placed = 0;
  while (const std::size_t now_placed = partition.Place(Configuration())) {
    placed += now_placed;
  }
  return MicrosecondsSince(begin) / static_cast<double>(placed);
}

// Places each demand on the worker with the least processors left over.
std::size_t PlaceNaively(const std::vector<Resources>& demands,
                         std::vector<Resources> free) {
  std::size_t placed = 0;
  for (const Resources& demand : demands) {
    Resources* best = nullptr;
    for (Resources& room : free) {
      if (!Fits(demand, room)) continue;
      if (best == nullptr || room.m_processors < best->m_processors) {
        best = &room;
      }
    }
    if (best == nullptr) continue;
    *best = *best - demand;
    ++placed;
  }
  return placed;
}

void BenchPacking(BenchTable& table, const Machines& machines) {
  constexpr std::size_t kWorkers = 50;
  constexpr int kTasks = 2000;
  constexpr double kLeastPacking = 0.98;
  Random random{2};
  std::vector<Resources> demands;
  LonePartition partition(kWorkers, machines);
  for (int index = 0; index < kTasks; ++index) {
    demands.push_back(RandomDemand(random));
    partition.Submit("c", demands.back(), 1, std::chrono::seconds(5));
    partition.Place(Configuration());
  }
  std::size_t placed = 0;
  for (const auto& [id, worker] : partition.m_engine.m_state.m_workers) {
    placed += worker.m_tasks.size();
  }
  const std::size_t naive =
      PlaceNaively(demands, std::vector<Resources>(kWorkers, kCapacity));
  AddBounded(table, "placement", "tasks placed to a naive best-fit scan",
             static_cast<double>(placed) / static_cast<double>(naive), "ratio",
             BoundKind::kAtLeast, kLeastPacking);
}

// A flood of batch work comes first; urgent work follows.
void BenchUrgent(BenchTable& table, const Machines& machines) {
  constexpr double kUrgentWithinSeconds = 2.8;
  constexpr int kRounds = 40;
  LonePartition partition(kWorkersPerPartition, machines);
  Configuration configuration;
  ClassTarget urgent;
  urgent.m_class = ClassId("urgent");
  urgent.m_kind = ClassKind::kBatch;
  urgent.m_within = std::chrono::milliseconds(2800);
  urgent.m_keep_percent = 20;
  configuration.m_classes = {urgent};
  const Resources demand{Millicores(1000), Mebibytes(1000), Accelerators()};
  // Urgent work has been seen before, so its need is known.
  partition.Submit("urgent", demand, 2000, std::chrono::milliseconds(2800));
  partition.Place(configuration);
  partition.Place(configuration);
  auto& tasks = partition.m_engine.m_state.m_tasks;
  std::vector<AttemptEnded> ends;
  for (const auto& [id, task] : tasks) {
    ends.push_back(AttemptEnded{id, task.m_attempt, AttemptEnd::kFinished, 0});
  }
  for (const AttemptEnded& end : ends) {
    CommitRecord(partition.m_engine, partition.m_machines, end);
  }
  for (int index = 0; index < 3; ++index) {
    partition.Submit("batch", demand, 10000, std::chrono::hours(8));
  }
  while (partition.Place(configuration) > 0) {
  }
  double longest = 0;
  for (int round = 0; round < kRounds; ++round) {
    const TimePoint submitted = partition.m_now;
    partition.Submit("urgent", demand, 50, std::chrono::milliseconds(2800));
    std::size_t placed = 0;
    while (placed < 50 &&
           partition.m_now < submitted + std::chrono::minutes(1)) {
      placed += partition.Place(configuration);
    }
    const std::chrono::duration<double> wait = partition.m_now - submitted;
    longest = std::max(longest, wait.count());
  }
  AddBounded(table, "placement", "longest start of urgent work in a flood",
             longest, "s", BoundKind::kAtMost, kUrgentWithinSeconds);
}

/// Calls of each kind in a second.
struct CallRates {
  double m_reads = 0;
  double m_writes = 0;
};

CallRates MeasureCalls(FakeFleet& fleet, Duration duration) {
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

CallRates IdleCalls(int nodes) {
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
  return MeasureCalls(fleet, std::chrono::seconds(60));
}

// One partition that starts `rate` tasks a second.
CallRates StartCalls(int rate) {
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
               SubmitJobAnywhere(node.m_services->m_partitions, request,
                                 [](const auto&) {});
             });
  }
  return MeasureCalls(fleet, std::chrono::seconds(kSeconds));
}

}  // namespace

void BenchPlacement(BenchTable& table) {
  const auto machines = LoadMachines(DAISYARCH_CHARTS);
  for (const std::size_t workers : {50, 250, 1000, 4000, 15000}) {
    if (table.m_is_short && workers > 1000) continue;
    AddFigure(
        table, "placement",
        "a start in one partition of " + std::to_string(workers) + " workers",
        StartCost(workers, machines.assume_value()), "us");
  }
  BenchPacking(table, machines.assume_value());
  BenchUrgent(table, machines.assume_value());
}

void BenchStoreCalls(BenchTable& table) {
  constexpr double kMostWritesPerPartition = 5;
  for (const int nodes : {2, 4, 8, 16}) {
    const CallRates rates = IdleCalls(nodes);
    const std::string size = std::to_string(nodes) + " idle nodes";
    AddFigure(table, "store", "reads, " + size, rates.m_reads, "1/s");
    AddFigure(table, "store", "writes, " + size, rates.m_writes, "1/s");
  }
  for (const int rate : {20, 60, 200}) {
    const CallRates rates = StartCalls(rate);
    AddBounded(
        table, "store",
        "writes, one partition at " + std::to_string(rate) + " starts a second",
        rates.m_writes, "1/s", BoundKind::kAtMost, kMostWritesPerPartition);
  }
}

void BenchMessages(BenchTable& table) {
  const TaskId task{JobId(0x123456789abcdef0ULL), 1000};
  WorkerReport report;
  report.m_incarnation = Incarnation(1796369729193ULL);
  const auto empty = static_cast<double>(Encode(report).dump().size());
  constexpr int kAttempts = 20;
  for (int index = 0; index < kAttempts; ++index) {
    report.m_attempts.push_back(AttemptReport{AttemptId{task, Attempt(1)},
                                              AttemptStatus::kRunning, 100});
  }
  const auto full = static_cast<double>(Encode(report).dump().size());
  AddFigure(table, "messages", "a worker's report without tasks", empty, "B");
  AddFigure(table, "messages", "each attempt in a report",
            (full - empty) / kAttempts, "B");
  AddFigure(table, "messages", "a control message without orders",
            static_cast<double>(Encode(WorkerControl()).dump().size()), "B");
  JournalBatch batch;
  const auto bare = static_cast<double>(WriteCbor(Encode(batch)).size());
  batch.m_records.emplace_back(TaskAssigned{
      task, Attempt(1), WorkerId("richmond-r12-w34"), Incarnation(1796369U)});
  batch.m_records.emplace_back(
      AttemptEnded{task, Attempt(1), AttemptEnd::kFinished, 100});
  AddFigure(table, "messages", "a start and its end in the journal",
            static_cast<double>(WriteCbor(Encode(batch)).size()) - bare, "B");
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
  const auto machines = LoadMachines(DAISYARCH_CHARTS);
  const PeerMachine& machine = machines.assume_value().m_peer;
  Peer peer;
  const auto begin = std::chrono::steady_clock::now();
  for (int step = 0; step < kSteps; ++step) {
    PeerContext context{peer, TimePoint(Duration(step))};
    machine.Step(peer.m_state,
                 step % 3 == 0 ? PeerEvent::kMissed : PeerEvent::kHeard,
                 context);
  }
  const double compiled = MicrosecondsSince(begin) / kSteps;
  const auto chart =
      ParseChartFile(std::string(DAISYARCH_CHARTS) + "/peer.yaml");
  const ChartDefinition& definition = chart.assume_value();
  const auto naive_begin = std::chrono::steady_clock::now();
  std::size_t found = 0;
  for (int step = 0; step < kSteps / 10; ++step) {
    const auto leaf = FindState(definition, "alive");
    const auto handling = FindHandlingState(definition, *leaf,
                                            step % 3 == 0 ? "missed" : "heard");
    found += handling.value_or(0);
  }
  const double naive = MicrosecondsSince(naive_begin) / (kSteps / 10.0);
  AddFigure(table, "chart", "a compiled step", compiled * 1000, "ns");
  AddFigure(table, "chart", "a step by names to a compiled one",
            found > 0 ? naive / compiled : 0, "ratio");
}

}  // namespace daisyarch
