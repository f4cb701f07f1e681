#include "fakes/fake_site.h"

#include <algorithm>

#include "fleet/job_service.h"
#include "fleet/store_keys.h"
#include "wire/fleet_fields.h"

namespace daisyarch::fleet {

namespace {

const std::string kConfigurationKey = "test/configuration";
const std::string kWorkerPrefix = "test/workers/";
constexpr Duration kTickInterval = std::chrono::milliseconds(40);
constexpr Duration kStoreTimeout = std::chrono::milliseconds(1500);
constexpr Duration kOrderTimeout = std::chrono::milliseconds(700);
constexpr Duration kWatchTimeoutMargin = std::chrono::milliseconds(500);
constexpr Duration kLeaseCheckInterval = std::chrono::milliseconds(50);

Error StoreDownError() {
  return Error{ErrorCode::kUnavailable, "call store", "store", "down"};
}

Error NoAnswerError(const std::string& peer) {
  return Error{ErrorCode::kOutcomeUnknown, "call", peer, "no answer"};
}

bool IsStoreUnreachable(const FakeSite& site, const FakeSiteNode& node) {
  const TimePoint now = site.m_loop.m_now;
  return now < site.m_faults.m_store_down_until ||
         now < node.m_store_unreachable_until;
}

/// Runs a callback at the node after a delay, unless the node is killed before.
void RunAtNode(FakeSite& site, FakeSiteNode& node, Duration delay,
               std::function<void()> run) {
  RunAfter(site.m_loop, delay, [&node, run = std::move(run)] {
    if (node.m_is_alive) run();
  });
}

Duration DrawStoreDelay(FakeSite& site) {
  return DelayBetween(site.m_loop, std::chrono::milliseconds(1),
                      std::chrono::milliseconds(5));
}

/// Applies a call to the store model and returns the answer to the node, with
/// the faults of the site.
template <typename Value>
void CallStore(FakeSite& site, FakeSiteNode& node,
               StoreCallback<Value> on_answer,
               std::function<Result<Value>()> effect) {
  if (IsStoreUnreachable(site, node) && site.m_faults.m_is_store_unresponsive) {
    return RunAtNode(site, node, kStoreTimeout,
                     [on_answer] { on_answer(NoAnswerError("store")); });
  }
  if (IsStoreUnreachable(site, node)) {
    return RunAtNode(site, node, DrawStoreDelay(site),
                     [on_answer] { on_answer(StoreDownError()); });
  }
  if (Chance(site.m_loop, site.m_faults.m_late_effect_probability)) {
    RunAfter(site.m_loop,
             DelayBetween(site.m_loop, std::chrono::seconds(1),
                          std::chrono::seconds(6)),
             [effect] { static_cast<void>(effect()); });
    return RunAtNode(site, node, kStoreTimeout,
                     [on_answer] { on_answer(NoAnswerError("store")); });
  }
  const bool is_lost =
      Chance(site.m_loop, site.m_faults.m_answer_loss_probability);
  RunAfter(site.m_loop, DrawStoreDelay(site),
           [&site, &node, on_answer, effect, is_lost] {
             Result<Value> result = effect();
             if (is_lost) {
               return RunAtNode(site, node, kStoreTimeout, [on_answer] {
                 on_answer(NoAnswerError("store"));
               });
             }
             RunAtNode(site, node, DrawStoreDelay(site),
                       [on_answer, result] { on_answer(result); });
           });
}

/// Answers a watch once there are changes, or at `until`.
void WaitForChanges(FakeSite& site, FakeSiteNode& node,
                    const std::string& prefix, StoreRevision after,
                    TimePoint until,
                    const StoreCallback<StoreChanges>& answer) {
  if (IsStoreUnreachable(site, node)) {
    return RunAtNode(site, node, kTickInterval,
                     [answer] { answer(StoreDownError()); });
  }
  if (site.m_loop.m_now < site.m_faults.m_watches_unanswered_until) {
    return RunAtNode(site, node,
                     until - site.m_loop.m_now + kWatchTimeoutMargin,
                     [answer] { answer(NoAnswerError("store")); });
  }
  auto changes = ChangesAfter(site.m_store, prefix, after);
  const bool is_over = !changes || !changes.assume_value().m_changes.empty() ||
                       site.m_loop.m_now >= until;
  if (is_over) {
    return RunAtNode(site, node, DrawStoreDelay(site),
                     [answer, changes] { answer(changes); });
  }
  constexpr Duration kPollInterval = std::chrono::milliseconds(3);
  RunAtNode(site, node, kPollInterval,
            [&site, &node, prefix, after, until, answer] {
              WaitForChanges(site, node, prefix, after, until, answer);
            });
}

Store MakeStore(FakeSite& site, FakeSiteNode& node) {
  Store store;
  store.m_read = [&site, &node](const std::string& key, ReadFreshness,
                                auto on_answer) {
    CallStore<std::optional<StoredItem>>(
        site, node, on_answer,
        [&site, key]() -> Result<std::optional<StoredItem>> {
          const auto found = site.m_store.m_entries.find(key);
          if (found == site.m_store.m_entries.end()) {
            return std::optional<StoredItem>();
          }
          return std::optional<StoredItem>(
              {key, found->second.m_value, found->second.m_revision});
        });
  };
  store.m_list = [&site, &node](const std::string& prefix, Duration timeout,
                                auto on_answer) {
    const Duration transfer = site.m_faults.m_list_duration;
    if (transfer > timeout) {
      return RunAtNode(site, node, timeout,
                       [on_answer] { on_answer(NoAnswerError("store")); });
    }
    if (transfer > Duration{}) {
      return RunAtNode(site, node, transfer, [&site, prefix, on_answer] {
        on_answer(List(site.m_store, prefix));
      });
    }
    CallStore<StoreListing>(site, node, on_answer,
                            [&site, prefix]() -> Result<StoreListing> {
                              return List(site.m_store, prefix);
                            });
  };
  store.m_watch = [&site, &node](const std::string& prefix, StoreRevision after,
                                 Duration wait, auto on_answer) {
    WaitForChanges(site, node, prefix, after, site.m_loop.m_now + wait,
                   on_answer);
  };
  store.m_commit = [&site, &node](const StoreTransaction& transaction,
                                  auto on_answer) {
    CallStore<TransactionResult>(
        site, node, on_answer,
        [&site, transaction]() -> Result<TransactionResult> {
          return Apply(site.m_store, transaction);
        });
  };
  store.m_grant_lease = [&site, &node](Duration term, auto on_answer) {
    CallStore<StoreLeaseId>(
        site, node, on_answer, [&site, term]() -> Result<StoreLeaseId> {
          return GrantLease(site.m_store, term, site.m_loop.m_now);
        });
  };
  store.m_renew_lease = [&site, &node](StoreLeaseId lease, auto on_answer) {
    CallStore<StoreLeaseId>(site, node, on_answer, [&site, lease] {
      return RenewLease(site.m_store, lease, site.m_loop.m_now);
    });
  };
  store.m_revoke_lease = [&site, &node](StoreLeaseId lease, auto on_answer) {
    CallStore<StoreLeaseId>(site, node, on_answer,
                            [&site, lease]() -> Result<StoreLeaseId> {
                              RevokeLease(site.m_store, lease);
                              return lease;
                            });
  };
  return store;
}

/// What happens to an order and to its answer on the network.
enum class OrderDelivery { kUnreachable, kLate, kAnswerLost, kNormal };

OrderDelivery DrawOrderDelivery(FakeSite& site, const FakeSiteNode& node,
                                const FleetWorkerModel& worker) {
  if (!worker.m_is_up ||
      node.m_unreachable_workers.count(worker.m_listing.m_worker) > 0) {
    return OrderDelivery::kUnreachable;
  }
  if (Chance(site.m_loop, site.m_faults.m_late_order_probability))
    return OrderDelivery::kLate;
  if (Chance(site.m_loop, site.m_faults.m_order_answer_loss_probability))
    return OrderDelivery::kAnswerLost;
  return OrderDelivery::kNormal;
}

Duration DrawOrderDelay(FakeSite& site) {
  return DelayBetween(site.m_loop, std::chrono::microseconds(300),
                      std::chrono::microseconds(4000));
}

template <typename Order, typename Answer>
void SendToWorker(FakeSite& site, FakeSiteNode& node, const Order& order,
                  std::function<void(Answer)> on_answer, Answer no_answer) {
  const auto found = site.m_workers.find(order.m_worker);
  if (found == site.m_workers.end()) {
    return RunAtNode(site, node, kOrderTimeout,
                     [on_answer, no_answer] { on_answer(no_answer); });
  }
  FleetWorkerModel& worker = *found->second;
  const OrderDelivery delivery = DrawOrderDelivery(site, node, worker);
  // Each order has a delay of its own, as on separate connections, so orders
  // may overtake each other.
  Duration delay = DrawOrderDelay(site);
  if (delivery == OrderDelivery::kLate) {
    delay = DelayBetween(site.m_loop, std::chrono::seconds(2),
                         std::chrono::seconds(12));
  }
  if (delivery != OrderDelivery::kNormal) {
    RunAtNode(site, node, kOrderTimeout,
              [on_answer, no_answer] { on_answer(no_answer); });
  }
  if (delivery == OrderDelivery::kUnreachable) return;
  RunAfter(site.m_loop, delay,
           [&site, &node, &worker, order, on_answer, no_answer, delivery] {
             if (!worker.m_is_up) {
               if (delivery != OrderDelivery::kNormal) return;
               return RunAtNode(
                   site, node, kOrderTimeout,
                   [on_answer, no_answer] { on_answer(no_answer); });
             }
             Answer answer = Receive(worker, order, site.m_loop.m_now);
             if (delivery != OrderDelivery::kNormal) return;
             RunAtNode(site, node, DrawOrderDelay(site),
                       [on_answer, answer] { on_answer(answer); });
           });
}

/// Sends a poll to the worker as soon as the worker has an ended run that the
/// node has not acknowledged, or at `until`.
void PollWhenDue(FakeSite& site, FakeSiteNode& node, const PollOrder& order,
                 const std::function<void(Result<WorkerReport>)>& on_answer,
                 TimePoint until) {
  const auto found = site.m_workers.find(order.m_worker);
  const bool has_outcome =
      found != site.m_workers.end() &&
      std::any_of(found->second->m_ended.begin(), found->second->m_ended.end(),
                  [&order](const EndedRun& ended_run) {
                    return ended_run.m_number > order.m_acknowledged;
                  });
  if (has_outcome || site.m_loop.m_now >= until) {
    return SendToWorker<PollOrder, Result<WorkerReport>>(
        site, node, order, on_answer, NoAnswerError(order.m_worker.value()));
  }
  constexpr Duration kStep = std::chrono::milliseconds(10);
  RunAtNode(site, node, kStep, [&site, &node, order, on_answer, until] {
    PollWhenDue(site, node, order, on_answer, until);
  });
}

OrderSender MakeOrderSender(FakeSite& site, FakeSiteNode& node) {
  OrderSender sender;
  sender.m_start = [&site, &node](const std::string&, const StartOrder& order,
                                  auto on_answer) {
    SendToWorker<StartOrder, StartOutcome>(site, node, order, on_answer,
                                           StartOutcome::kUnanswered);
  };
  sender.m_stop = [&site, &node](const std::string&, const StopOrder& order,
                                 auto on_answer) {
    SendToWorker<StopOrder, Result<void>>(
        site, node, order, on_answer, NoAnswerError(order.m_worker.value()));
  };
  sender.m_throttle = [](const std::string&, const ThrottleOrder&,
                         auto on_answer) { on_answer(Success()); };
  sender.m_poll = [&site, &node](const std::string&, const PollOrder& order,
                                 auto on_answer) {
    PollWhenDue(site, node, order, on_answer, site.m_loop.m_now + order.m_wait);
  };
  return sender;
}

FleetClock MakeClock(FakeSite& site, FakeSiteNode& node) {
  FleetClock clock;
  clock.m_now = [&site] { return site.m_loop.m_now; };
  clock.m_unix_ms = [&site] {
    return ToMilliseconds(site.m_loop.m_now.time_since_epoch());
  };
  clock.m_defer = [&site, &node](std::function<void()> run) {
    RunAtNode(site, node, Duration{}, std::move(run));
  };
  clock.m_run_after = [&site, &node](Duration delay,
                                     std::function<void()> run) {
    RunAtNode(site, node, delay, std::move(run));
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
  codec.m_read_workers = [&site](const std::vector<StoredItem>&) {
    std::vector<ListedWorker> workers;
    for (const auto& [id, model] : site.m_workers) {
      if (site.m_unlisted_workers.count(id) == 0)
        workers.push_back(model->m_listing);
    }
    return workers;
  };
  return codec;
}

void ScheduleTicks(FakeSite& site, FakeSiteNode& node) {
  RunAtNode(site, node, kTickInterval, [&site, &node] {
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

void RecordViolation(FakeSite& site, const std::string& rule,
                     const TaskReference& task) {
  if (!site.m_violation.empty()) return;
  site.m_violation =
      rule + " " + TaskName(task) + " at virtual ms " +
      std::to_string(ToMilliseconds(site.m_loop.m_now.time_since_epoch()));
}

// Checks the invariants of the site from the workers' state alone: a task runs
// on one worker at a time, a worker's runs fit into its capacity, and a task
// has at most three attempts.
void CheckStart(FakeSite& site, FleetWorkerModel& started,
                const TaskReference& task) {
  ++site.m_starts;
  for (auto& [id, worker] : site.m_workers) {
    Advance(*worker, site.m_loop.m_now);
    if (worker.get() == &started || !worker->m_is_up) continue;
    if (worker->m_running.count(task) > 0)
      RecordViolation(site, "more than one worker runs", task);
  }
  Resources used;
  for (const auto& [running, run] : started.m_running) {
    const StepPlan* step = FindStep(site, running);
    if (step != nullptr) used = used + step->m_demand;
  }
  if (!Fits(used, started.m_listing.m_capacity))
    RecordViolation(site, "capacity of the worker exceeded by", task);
  constexpr std::size_t kMaximumAttempts = 3;
  if (site.m_failures[task].size() >= kMaximumAttempts) {
    RecordViolation(site, "attempt limit exceeded by", task);
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
    ScheduleLeaseChecks(site);
  });
}

}  // namespace

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
  model->m_on_start = [&site, worker](const TaskReference& task, RunNumber) {
    CheckStart(site, *worker, task);
  };
  model->m_on_end = [&site, id](const EndedRun& ended_run) {
    if (ended_run.m_outcome == RunOutcome::kFailed) {
      site.m_failures[ended_run.m_task].insert({id, ended_run.m_run});
    }
  };
  site.m_workers[id] = std::move(model);
}

void Configure(FakeSite& site, const JobRoutes& routes) {
  site.m_routes = routes;
  StoreTransaction transaction;
  transaction.m_puts.push_back({kConfigurationKey,
                                std::to_string(routes.m_version.value()),
                                StoreLeaseId()});
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
  auto machines = LoadFleetStateMachines(DAISYARCH_CHARTS);
  auto leadership = LeadershipStateMachine::Load(DAISYARCH_CHARTS, "leadership",
                                                 LeadershipBinding());
  node.m_node = std::unique_ptr<FleetNode>(new FleetNode{
      FleetRuntime{settings, MakeClock(site, node), MakeStore(site, node),
                   MakeOrderSender(site, node), MakeCodec(site),
                   std::move(machines).assume_value(),
                   std::move(leadership).assume_value()}});
  StartFleetNode(*node.m_node);
  ScheduleTicks(site, node);
  return node;
}

void KillSiteNode(FakeSite& site, FakeSiteNode& node) {
  node.m_is_alive = false;
  // The node's events are still in the loop; RunAtNode skips them.
  RunAfter(site.m_loop, Duration{}, [&node] { node.m_node.reset(); });
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
