#include "fakes/fake_site.h"

#include <algorithm>
#include <cstdlib>

#include "decisions/fleet/choose_worker.h"
#include "fakes/charged_links.h"
#include "fakes/fake_site_links.h"
#include "fakes/index_check.h"
#include "fleet/job_service.h"
#include "fleet/store_keys.h"
#include "wire/fleet_fields.h"

namespace daisyarch::fleet {

namespace {

const std::string kConfigurationKey = "test/configuration";
const std::string kWorkerPrefix = "test/workers/";
const std::string kEvacuationPrefix = "test/evacuations/";
constexpr Duration kTickInterval = std::chrono::milliseconds(40);
constexpr Duration kLeaseCheckInterval = std::chrono::milliseconds(50);
constexpr Duration kMaximumStartAfterCancel = std::chrono::seconds(4);
// A worker writes its entry to the store this often.
constexpr Duration kHeartbeatInterval = std::chrono::milliseconds(1500);
// After this time and one heartbeat, a smaller capacity is binding; also this
// time after the store was down.
constexpr Duration kMaximumShrinkDelay = std::chrono::seconds(3);

FleetClock MakeClock(FakeSite& site, FakeSiteNode& node) {
  FleetClock clock;
  clock.m_now = [&site, &node] { return TimeAt(site.m_loop, node.m_loop); };
  clock.m_unix_ms = [&site, &node] {
    return ToMilliseconds(TimeAt(site.m_loop, node.m_loop).time_since_epoch());
  };
  clock.m_run_after = [&site, &node](Duration delay,
                                     std::function<void()> run) {
    const Duration busy_for =
        TimeAt(site.m_loop, node.m_loop) - site.m_loop.m_now;
    RunAtNode(site, node, busy_for + delay, std::move(run));
  };
  clock.m_defer = [run_after = clock.m_run_after](std::function<void()> run) {
    run_after(Duration{}, std::move(run));
  };
  return clock;
}

SiteCodec MakeCodec(FakeSite& site) {
  SiteCodec codec;
  codec.m_configuration_key = kConfigurationKey;
  codec.m_read_configuration = [&site](const std::string&) {
    return Result<JobRoutes>(site.m_routes);
  };
  codec.m_worker_prefix = kWorkerPrefix;
  codec.m_evacuation_prefix = kEvacuationPrefix;
  codec.m_read_workers = [&site](const std::vector<StoredItem>& items) {
    std::vector<ListedWorker> workers;
    for (const StoredItem& item : items) {
      const ListedWorker& entry =
          site.m_written_entries.at(std::stoul(item.m_value));
      if (site.m_unlisted_workers.count(entry.m_worker) == 0)
        workers.push_back(entry);
    }
    return workers;
  };
  return codec;
}

void ScheduleTicks(FakeSite& site, FakeSiteNode& node) {
  const TimePoint due = site.m_loop.m_now + kTickInterval;
  RunAtNode(site, node, HandledAt(node, due) - site.m_loop.m_now,
            [&site, &node] {
              Charge(site.m_loop, node.m_loop, &LoopCosts::m_tick);
              TickFleetNode(*node.m_node);
              ScheduleTicks(site, node);
            });
}

const StepPlan* FindStep(const FakeSite& site, const TaskReference& task) {
  const auto job = site.m_submitted.find(task.m_job);
  if (job == site.m_submitted.end()) return nullptr;
  return &job->second.m_steps[task.m_step];
}

std::string TaskName(const TaskReference& task) {
  return task.m_job.value() + "." + std::to_string(task.m_step) + "." +
         std::to_string(task.m_index);
}

std::string MillisecondOf(const FakeSite& site) {
  return std::to_string(ToMilliseconds(site.m_loop.m_now.time_since_epoch()));
}

void AddToHistory(FakeSite& site, const TaskReference& task,
                  const std::string& event, RunNumber run,
                  const FleetWorkerModel& worker) {
  site.m_history[task] +=
      "; " + MillisecondOf(site) + " ms " + event + " run " +
      std::to_string(run.value()) + " at " + worker.m_listing.m_worker.value() +
      "/" + std::to_string(worker.m_listing.m_incarnation.value());
}

std::string DescribeViolation(FakeSite& site, const std::string& rule,
                              const TaskReference& task) {
  return rule + " " + TaskName(task) + " at virtual ms " + MillisecondOf(site) +
         site.m_history[task];
}

void RecordViolation(FakeSite& site, const std::string& rule,
                     const TaskReference& task) {
  if (!site.m_violation.empty()) return;
  site.m_violation = DescribeViolation(site, rule, task);
}

void RecordRepeatedTask(FakeSite& site, const std::string& rule,
                        const TaskReference& task) {
  if (!site.m_repeated_task.empty()) return;
  site.m_repeated_task = DescribeViolation(site, rule, task);
}

// Returns the load that a worker reports for a run.
std::int64_t LoadOf(const FakeSite& site, const FleetWorkerModel& worker,
                    const TaskReference& task, const ModelRun& run) {
  constexpr int kPercent = 100;
  const StepPlan* step = FindStep(site, task);
  if (step == nullptr) return 0;
  if (step->m_latency_target <= Duration{}) {
    return step->m_demand.m_processors.value() * run.m_limit_percent / kPercent;
  }
  const bool has_best_effort =
      std::any_of(worker.m_running.begin(), worker.m_running.end(),
                  [&site](const auto& other) {
                    const StepPlan* plan = FindStep(site, other.first);
                    return plan != nullptr &&
                           plan->m_processor_use == ProcessorUse::kBestEffort &&
                           other.second.m_limit_percent > 0;
                  });
  const bool is_over =
      has_best_effort && site.m_loop.m_now < site.m_faults.m_interference_until;
  return ToMilliseconds(is_over ? step->m_latency_target * 2
                                : step->m_latency_target / 2);
}

// Returns the capacity that a start must respect. A capacity that the worker
// had a short time ago still counts, since the leader may not know yet that it
// has shrunk.
Resources BindingCapacity(const FakeSite& site,
                          const FleetWorkerModel& worker) {
  const TimePoint now = site.m_loop.m_now;
  const bool is_store_stable =
      now >= site.m_faults.m_store_down_until + kMaximumShrinkDelay;
  return LargestCapacitySince(
      worker, is_store_stable ? now - kMaximumShrinkDelay - kHeartbeatInterval
                              : TimePoint());
}

bool IsFinite(const FakeSite& site, const TaskReference& task) {
  const StepPlan* step = FindStep(site, task);
  return step != nullptr && step->m_kind == StepKind::kFinite;
}

// A task whose done run is acknowledged never starts after that run's end, nor
// did so before the acknowledgement.
void CheckAcknowledgement(FakeSite& site, const EndedRun& ended_run) {
  const TaskReference& task = ended_run.m_task;
  if (ended_run.m_outcome != RunOutcome::kDone || !IsFinite(site, task)) return;
  site.m_acknowledged.insert(task);
  const auto done = site.m_done.find({task, ended_run.m_run});
  if (done != site.m_done.end() && site.m_started[task] > done->second) {
    RecordViolation(
        site, "had started again when its done run was acknowledged:", task);
  }
}

// Counts the failed runs whose ends are acknowledged or may still be. An end
// that is lost with its worker's process can be known to no leader.
std::size_t CountAttempts(const FakeSite& site, const TaskReference& task) {
  const auto failures = site.m_failures.find(task);
  if (failures == site.m_failures.end()) return 0;
  const auto counts = [&](const std::pair<WorkerId, RunNumber>& failure) {
    if (site.m_noted_failures.count({task, failure.second}) > 0) return true;
    const FleetWorkerModel& worker = *site.m_workers.at(failure.first);
    return worker.m_is_up &&
           std::any_of(worker.m_ended.begin(), worker.m_ended.end(),
                       [&](const EndedRun& end) {
                         return end.m_task == task &&
                                end.m_run == failure.second &&
                                end.m_outcome == RunOutcome::kFailed;
                       });
  };
  return static_cast<std::size_t>(
      std::count_if(failures->second.begin(), failures->second.end(), counts));
}

// Checks the invariants of the site from the workers' state alone: a task runs
// on one worker at a time and not again after an acknowledged done run, a
// worker's runs fit into its capacity, a task has at most three attempts, and
// no run of a cancelled job starts.
void CheckStart(FakeSite& site, FleetWorkerModel& started,
                const TaskReference& task) {
  ++site.m_starts;
  for (auto& [id, worker] : site.m_workers) {
    Advance(*worker, site.m_loop.m_now);
    if (worker.get() == &started || !worker->m_is_up) continue;
    if (worker->m_running.count(task) > 0)
      RecordViolation(site, "more than one worker runs", task);
  }
  site.m_started[task] = ++site.m_last_event;
  if (site.m_acknowledged.count(task) > 0) {
    RecordRepeatedTask(site,
                       "started after its done run was acknowledged:", task);
  }
  Resources used;
  for (const auto& [running, run] : started.m_running) {
    const StepPlan* step = FindStep(site, running);
    if (step != nullptr) used = used + ReservedDemand(*step);
  }
  if (!Fits(used, BindingCapacity(site, started)))
    RecordViolation(site, "capacity of the worker exceeded by", task);
  constexpr std::size_t kMaximumAttempts = 3;
  if (CountAttempts(site, task) >= kMaximumAttempts) {
    RecordViolation(site, "attempt limit exceeded by", task);
  }
  const auto cancelled = site.m_cancelled_at.find(task.m_job);
  if (cancelled != site.m_cancelled_at.end() &&
      site.m_loop.m_now > cancelled->second + kMaximumStartAfterCancel) {
    RecordViolation(site, "started after its job's cancellation", task);
  }
}

void WriteWorkerEntry(FakeSite& site, const ListedWorker& entry) {
  StoreTransaction transaction;
  transaction.m_puts.push_back({kWorkerPrefix + entry.m_worker.value(),
                                std::to_string(site.m_written_entries.size()),
                                StoreLeaseId()});
  site.m_written_entries.push_back(entry);
  Apply(site.m_store, transaction);
}

void ScheduleHeartbeats(FakeSite& site, FleetWorkerModel& worker,
                        Duration delay) {
  RunAfter(site.m_loop, delay, [&site, &worker] {
    const bool is_store_up =
        site.m_loop.m_now >= site.m_faults.m_store_down_until;
    if (worker.m_is_up && is_store_up) WriteWorkerEntry(site, worker.m_listing);
    ScheduleHeartbeats(site, worker, kHeartbeatInterval);
  });
}

// Records the cancellations that have reached the store since the last call.
void RecordStoredCancellations(FakeSite& site) {
  for (const JobKey& key : site.m_cancelled) {
    if (site.m_store.m_entries.count(CancelItemKey(key)) > 0) {
      site.m_cancelled_at.emplace(key, site.m_loop.m_now);
    }
  }
}

void RecordViolation(FakeSite& site, const std::string& what,
                     const std::string& error) {
  if (!error.empty() && site.m_violation.empty()) {
    site.m_violation = what + " is wrong: " + error;
  }
}

// Checks that the leaders' indexes and encoded progress agree with their
// workers and jobs.
void CheckLeaders(FakeSite& site) {
  for (const auto& node : site.m_nodes) {
    if (!node->m_is_alive || !node->m_node->m_leader) continue;
    Leader& leader = *node->m_node->m_leader;
    RecordViolation(site, "the index of " + node->m_name,
                    FindIndexError(leader.m_fleet));
    RecordViolation(site, "the encoded progress of " + node->m_name,
                    FindRowError(leader));
  }
}

void ScheduleLeaseChecks(FakeSite& site) {
  RunAfter(site.m_loop, kLeaseCheckInterval, [&site] {
    if (site.m_loop.m_now >= site.m_faults.m_store_down_until) {
      ExpireLeases(site.m_store, site.m_loop.m_now);
    }
    for (auto& entry : site.m_workers) {
      Advance(*entry.second, site.m_loop.m_now);
    }
    RecordStoredCancellations(site);
    CheckLeaders(site);
    ScheduleLeaseChecks(site);
  });
}

}  // namespace

std::uint64_t FirstSeed() {
  const char* first = std::getenv("DAISYARCH_SOAK_FIRST_SEED");
  return first == nullptr ? 1 : std::strtoull(first, nullptr, 10);
}

std::uint64_t SeedCount(std::uint64_t seeds_in_ci) {
  const char* count = std::getenv("DAISYARCH_SOAK_SEEDS");
  return count == nullptr ? seeds_in_ci : std::strtoull(count, nullptr, 10);
}

JobRoutes MakeTestRoutes() {
  JobRoutes routes;
  routes.m_version = ConfigurationVersion(1);
  Queue queue;
  queue.m_id = QueueId("batch");
  queue.m_pool = PoolId("pool");
  queue.m_maximum_attempts = 3;
  queue.m_target = std::chrono::seconds(5);
  routes.m_routes.push_back({"host", "/batch/", queue});
  return routes;
}

void AddSiteWorker(FakeSite& site, const std::string& name,
                   const Resources& capacity) {
  const WorkerId id(name);
  auto model = std::make_unique<FleetWorkerModel>();
  model->m_listing.m_worker = id;
  model->m_listing.m_address = name;
  model->m_listing.m_incarnation = Incarnation(1);
  model->m_listing.m_pool = PoolId("pool");
  model->m_listing.m_capacity = capacity;
  model->m_process_started_at = site.m_loop.m_now;
  model->m_clock_rate = Chance(site.m_loop, 0.5) ? 0.98 : 1.0;
  model->m_plan_run = [&site](const TaskReference&, RunNumber) {
    ModelRun run;
    run.m_ends_at = site.m_loop.m_now +
                    DelayBetween(site.m_loop, std::chrono::milliseconds(50),
                                 std::chrono::milliseconds(1500));
    if (Chance(site.m_loop, 0.05)) run.m_outcome = RunOutcome::kFailed;
    return run;
  };
  FleetWorkerModel* worker = model.get();
  model->m_on_start = [&site, worker](const TaskReference& task,
                                      RunNumber run) {
    AddToHistory(site, task, "started", run, *worker);
    CheckStart(site, *worker, task);
  };
  model->m_load_of = [&site, worker](const TaskReference& task,
                                     const ModelRun& run) {
    return LoadOf(site, *worker, task, run);
  };
  model->m_on_end = [&site, id, worker](const EndedRun& ended_run) {
    AddToHistory(site, ended_run.m_task, "ended", ended_run.m_run, *worker);
    if (!IsFinite(site, ended_run.m_task)) return;
    if (ended_run.m_outcome == RunOutcome::kFailed) {
      site.m_failures[ended_run.m_task].insert({id, ended_run.m_run});
    } else if (ended_run.m_outcome == RunOutcome::kDone) {
      site.m_done[{ended_run.m_task, ended_run.m_run}] = ++site.m_last_event;
    }
  };
  model->m_on_acknowledged = [&site, worker](const EndedRun& ended_run) {
    AddToHistory(site, ended_run.m_task, "acknowledged", ended_run.m_run,
                 *worker);
    if (ended_run.m_outcome == RunOutcome::kFailed) {
      site.m_noted_failures.insert({ended_run.m_task, ended_run.m_run});
    }
    CheckAcknowledgement(site, ended_run);
  };
  WriteWorkerEntry(site, model->m_listing);
  // The workers write at different times.
  constexpr Duration kStagger = std::chrono::milliseconds(370);
  ScheduleHeartbeats(
      site, *model,
      (site.m_workers.size() + 1) * kStagger % kHeartbeatInterval);
  site.m_workers[id] = std::move(model);
}

void DrainSiteWorker(FakeSite& site, FleetWorkerModel& worker,
                     Duration notice) {
  worker.m_listing.m_is_leaving = true;
  WriteWorkerEntry(site, worker.m_listing);
  RunAfter(site.m_loop, notice, [&site, &worker] {
    Crash(worker, site.m_loop.m_now);
    site.m_unlisted_workers.insert(worker.m_listing.m_worker);
  });
}

void ReturnSiteWorker(FakeSite& site, FleetWorkerModel& worker) {
  Restart(worker, site.m_loop.m_now);
  worker.m_listing.m_is_leaving = false;
  site.m_unlisted_workers.erase(worker.m_listing.m_worker);
  WriteWorkerEntry(site, worker.m_listing);
}

void Configure(FakeSite& site, const JobRoutes& routes) {
  site.m_routes = routes;
  StoreTransaction transaction;
  transaction.m_puts.push_back({kConfigurationKey,
                                std::to_string(routes.m_version.value()),
                                StoreLeaseId()});
  Apply(site.m_store, transaction);
}

void SetEvacuated(FakeSite& site, const std::string& domain,
                  bool is_evacuated) {
  StoreTransaction transaction;
  const std::string key = kEvacuationPrefix + domain;
  if (is_evacuated) {
    transaction.m_puts.push_back({key, "{}", StoreLeaseId()});
  } else {
    transaction.m_removals.push_back(key);
  }
  Apply(site.m_store, transaction);
}

FakeSiteNode& AddSiteNode(FakeSite& site, const std::string& name) {
  if (site.m_nodes.empty()) {
    Configure(site, site.m_routes);
    ScheduleLeaseChecks(site);
  }
  site.m_nodes.push_back(std::make_unique<FakeSiteNode>());
  FakeSiteNode& node = *site.m_nodes.back();
  node.m_name = name;
  SiteSettings settings;
  settings.m_node = NodeId(name);
  settings.m_worker_lease_maximum = std::chrono::seconds(10);
  settings.m_store_lease_minimum = std::chrono::seconds(1);
  settings.m_state_retention = std::chrono::seconds(600);
  settings.m_maximum_target_overrun = std::chrono::seconds(4);
  settings.m_leaving_grace_period = std::chrono::seconds(2);
  settings.m_evacuation_period = site.m_evacuation_period;
  if (site.m_has_relays) settings.m_relay_address = Address{name, 1};
  auto machines = LoadFleetStateMachines(DAISYARCH_CHARTS);
  auto leadership = LeadershipStateMachine::Load(DAISYARCH_CHARTS, "leadership",
                                                 LeadershipBinding());
  node.m_node = std::unique_ptr<FleetNode>(new FleetNode{
      FleetRuntime{settings, MakeClock(site, node),
                   ChargeStore(site, node, MakeStore(site, node)),
                   ChargeOrders(site, node, MakeOrderSender(site, node)),
                   MakeCodec(site), std::move(machines).assume_value(),
                   std::move(leadership).assume_value()}});
  if (site.m_has_relays) {
    FleetRuntime& runtime = node.m_node->m_runtime;
    runtime.m_call_relay =
        ChargeRelays(site, node, MakeRelayCaller(site, node));
    runtime.m_relay_limits = site.m_relay_limits;
  }
  StartFleetNode(*node.m_node);
  ScheduleTicks(site, node);
  return node;
}

void KillSiteNode(FakeSite& site, FakeSiteNode& node) {
  node.m_is_alive = false;
  // The node's events are still in the loop; RunAtNode skips them.
  RunAfter(site.m_loop, Duration{}, [&node] { node.m_node.reset(); });
}

void SlowSiteNode(FakeSite& site, FakeSiteNode& node, Duration delay,
                  Duration duration) {
  node.m_loop_delay = delay;
  RunAfter(site.m_loop, duration, [&site, &node, delay] {
    node.m_loop_delay = Duration{};
    node.m_backlog_until = site.m_loop.m_now + delay;
  });
}

FakeSiteNode* FindLeader(FakeSite& site) {
  for (const auto& node : site.m_nodes) {
    if (node->m_is_alive && node->m_node->m_leader &&
        node->m_node->m_leadership == LeadershipState::kLeading) {
      return node.get();
    }
  }
  return nullptr;
}

FakeSiteNode* PickRelay(FakeSite& site) {
  FakeSiteNode* leader = FindLeader(site);
  if (leader == nullptr) return nullptr;
  const auto& links = leader->m_node->m_leader->m_relays.m_links;
  std::vector<FakeSiteNode*> serving;
  for (const auto& node : site.m_nodes) {
    const auto link = links.find(NodeId(node->m_name));
    if (node->m_is_alive && link != links.end() &&
        link->second.m_state == RelayLinkState::kServing) {
      serving.push_back(node.get());
    }
  }
  if (serving.empty()) return nullptr;
  return serving[NextBelow(site.m_loop.m_random, serving.size())];
}

void DisturbRelay(FakeSite& site) {
  FakeSiteNode* relay = PickRelay(site);
  if (relay == nullptr) return;
  const Duration short_time = DelayBetween(
      site.m_loop, std::chrono::milliseconds(200), std::chrono::seconds(4));
  switch (NextBelow(site.m_loop.m_random, 4)) {
    case 0:
      KillSiteNode(site, *relay);
      RunAfter(site.m_loop, short_time,
               [&site, name = relay->m_name] { AddSiteNode(site, name); });
      return;
    case 1:
      return SlowSiteNode(site, *relay, short_time, short_time);
    case 2:
      relay->m_nodes_unreachable_until = site.m_loop.m_now + 2 * short_time;
      return;
    default:
      for (const auto& entry : site.m_workers) {
        if (Chance(site.m_loop, 0.5))
          relay->m_unreachable_workers.insert(entry.first);
      }
      RunAfter(site.m_loop, 2 * short_time,
               [relay] { relay->m_unreachable_workers.clear(); });
  }
}

void SubmitToSite(FakeSite& site, FakeSiteNode& node, const JobPlan& plan) {
  if (site.m_accepted.count(plan.m_key) > 0) return;
  site.m_submitted.emplace(plan.m_key, plan);
  constexpr Duration kSubmitTimeout = std::chrono::seconds(3);
  if (node.m_is_alive) {
    AcceptJob(node.m_node->m_runtime, plan, site.m_loop.m_now + kSubmitTimeout,
              [&site, key = plan.m_key](Acceptance acceptance) {
                if (acceptance == Acceptance::kStored) {
                  site.m_accepted.insert(key);
                }
              });
  }
  // Regardless of the answer, the client submits the job again until an answer
  // has confirmed that the job is stored.
  RunAfter(site.m_loop, kSubmitTimeout + kTickInterval, [&site, plan] {
    for (const auto& other : site.m_nodes) {
      if (other->m_is_alive) return SubmitToSite(site, *other, plan);
    }
  });
}

void CancelAtSite(FakeSite& site, const JobKey& key) {
  constexpr Duration kCancelTimeout = std::chrono::seconds(3);
  site.m_cancelled.insert(key);
  for (const auto& node : site.m_nodes) {
    if (!node->m_is_alive) continue;
    return CancelStoredJob(node->m_node->m_runtime, key,
                           site.m_loop.m_now + kCancelTimeout,
                           [](Acceptance) {});
  }
}

JobPlan MakeTestJob(int number, std::uint32_t tasks) {
  JobPlan plan;
  plan.m_key = JobKey("job-" + std::to_string(number));
  plan.m_queue = MakeTestRoutes().m_routes.front().m_queue;
  plan.m_payload = "work";
  StepPlan step;
  step.m_task_count = tasks;
  step.m_demand = Resources{Millicores(1000), Mebibytes(500), Accelerators(0)};
  step.m_estimate = std::chrono::milliseconds(800);
  plan.m_steps.push_back(step);
  step.m_task_count = 2;
  step.m_after = {0};
  plan.m_steps.push_back(step);
  return plan;
}

JobState ReadStoredState(const FakeSite& site, const JobKey& key) {
  const auto found = site.m_store.m_entries.find(ProgressItemKey(key));
  if (found == site.m_store.m_entries.end()) return JobState::kQueued;
  const auto progress = DecodeCbor<JobProgress>(found->second.m_value,
                                                "read progress", key.value());
  return progress ? progress.assume_value().m_state : JobState::kQueued;
}

std::string FindUnfinishedJob(const FakeSite& site) {
  for (const auto& [key, plan] : site.m_submitted) {
    const JobState state = ReadStoredState(site, key);
    if (state != JobState::kCompleted && state != JobState::kFailed) {
      return key.value();
    }
  }
  return "";
}

}  // namespace daisyarch::fleet
