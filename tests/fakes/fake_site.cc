#include "fakes/fake_site.h"

#include <algorithm>

#include "fleet/job_service.h"
#include "fleet/store_keys.h"
#include "wire/fleet_fields.h"

namespace daisyarch::fleet {

namespace {

const std::string kConfiguration = "test/configuration";
const std::string kWorkers = "test/workers/";
constexpr Duration kTick = std::chrono::milliseconds(40);
constexpr Duration kStoreTimeout = std::chrono::milliseconds(1500);
constexpr Duration kOrderTimeout = std::chrono::milliseconds(700);
constexpr Duration kWatchSlack = std::chrono::milliseconds(500);
constexpr Duration kLeaseCheck = std::chrono::milliseconds(50);

Error StoreDown() {
  return Error{ErrorCode::kUnavailable, "call store", "store", "down"};
}

Error NoAnswer(const std::string& peer) {
  return Error{ErrorCode::kOutcomeUnknown, "call", peer, "no answer"};
}

bool IsStoreAway(const FakeSite& site, const FakeSiteNode& node) {
  const TimePoint now = site.m_loop.m_now;
  return now < site.m_faults.m_store_down_until ||
         now < node.m_cut_from_store_until;
}

/// Runs at the node, unless it was killed meanwhile.
void Deliver(FakeSite& site, FakeSiteNode& node, Duration delay,
             std::function<void()> run) {
  RunAfter(site.m_loop, delay, [&node, run = std::move(run)] {
    if (node.m_is_alive) run();
  });
}

Duration StoreDelay(FakeSite& site) {
  return DelayBetween(site.m_loop, std::chrono::milliseconds(1),
                      std::chrono::milliseconds(5));
}

/// Reaches the store, takes effect there, and brings the answer back.
template <typename Value>
void CallStore(FakeSite& site, FakeSiteNode& node,
               StoreCallback<Value> on_answer,
               std::function<Result<Value>()> effect) {
  if (IsStoreAway(site, node) && site.m_faults.m_is_store_silent) {
    return Deliver(site, node, kStoreTimeout,
                   [on_answer] { on_answer(NoAnswer("store")); });
  }
  if (IsStoreAway(site, node)) {
    return Deliver(site, node, StoreDelay(site),
                   [on_answer] { on_answer(StoreDown()); });
  }
  if (Chance(site.m_loop, site.m_faults.m_write_late)) {
    RunAfter(site.m_loop,
             DelayBetween(site.m_loop, std::chrono::seconds(1),
                          std::chrono::seconds(6)),
             [effect] { static_cast<void>(effect()); });
    return Deliver(site, node, kStoreTimeout,
                   [on_answer] { on_answer(NoAnswer("store")); });
  }
  const bool is_lost = Chance(site.m_loop, site.m_faults.m_lose_answer);
  RunAfter(site.m_loop, StoreDelay(site),
           [&site, &node, on_answer, effect, is_lost] {
             Result<Value> result = effect();
             if (is_lost) {
               return Deliver(site, node, kStoreTimeout,
                              [on_answer] { on_answer(NoAnswer("store")); });
             }
             Deliver(site, node, StoreDelay(site),
                     [on_answer, result] { on_answer(result); });
           });
}

void WaitForChanges(FakeSite& site, FakeSiteNode& node,
                    const std::string& prefix, StoreRevision after,
                    TimePoint until,
                    const StoreCallback<StoreChanges>& answer) {
  if (IsStoreAway(site, node)) {
    return Deliver(site, node, kTick, [answer] { answer(StoreDown()); });
  }
  if (site.m_loop.m_now < site.m_faults.m_watches_silent_until) {
    return Deliver(site, node, until - site.m_loop.m_now + kWatchSlack,
                   [answer] { answer(NoAnswer("store")); });
  }
  auto changes = ChangesAfter(site.m_store, prefix, after);
  const bool is_over = !changes || !changes.assume_value().m_changes.empty() ||
                       site.m_loop.m_now >= until;
  if (is_over) {
    return Deliver(site, node, StoreDelay(site),
                   [answer, changes] { answer(changes); });
  }
  constexpr Duration kLook = std::chrono::milliseconds(3);
  Deliver(site, node, kLook, [&site, &node, prefix, after, until, answer] {
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
  store.m_list = [&site, &node](const std::string& prefix, Duration patience,
                                auto on_answer) {
    const Duration transfer = site.m_faults.m_list_takes;
    if (transfer > patience) {
      return Deliver(site, node, patience,
                     [on_answer] { on_answer(NoAnswer("store")); });
    }
    if (transfer > Duration{}) {
      return Deliver(site, node, transfer, [&site, prefix, on_answer] {
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
                              EndLease(site.m_store, lease);
                              return lease;
                            });
  };
  return store;
}

/// What became of an order on its way.
enum class Way { kUnreachable, kLate, kAnswerLost, kWhole };

Way WayOf(FakeSite& site, const FakeSiteNode& node,
          const FleetWorkerModel& worker) {
  if (!worker.m_is_up ||
      node.m_cut_workers.count(worker.m_listing.m_worker) > 0) {
    return Way::kUnreachable;
  }
  if (Chance(site.m_loop, site.m_faults.m_order_late)) return Way::kLate;
  if (Chance(site.m_loop, site.m_faults.m_lose_order)) return Way::kAnswerLost;
  return Way::kWhole;
}

Duration OrderDelay(FakeSite& site) {
  return DelayBetween(site.m_loop, std::chrono::microseconds(300),
                      std::chrono::microseconds(4000));
}

template <typename Order, typename Answer>
void SendToWorker(FakeSite& site, FakeSiteNode& node, const Order& order,
                  std::function<void(Answer)> on_answer, Answer no_answer) {
  const auto found = site.m_workers.find(order.m_worker);
  if (found == site.m_workers.end()) {
    return Deliver(site, node, kOrderTimeout,
                   [on_answer, no_answer] { on_answer(no_answer); });
  }
  FleetWorkerModel& worker = *found->second;
  const Way way = WayOf(site, node, worker);
  // Orders on different connections overtake each other.
  Duration delay = OrderDelay(site);
  if (way == Way::kLate) {
    delay = DelayBetween(site.m_loop, std::chrono::seconds(2),
                         std::chrono::seconds(12));
  }
  if (way != Way::kWhole) {
    Deliver(site, node, kOrderTimeout,
            [on_answer, no_answer] { on_answer(no_answer); });
  }
  if (way == Way::kUnreachable) return;
  RunAfter(site.m_loop, delay,
           [&site, &node, &worker, order, on_answer, no_answer, way] {
             if (!worker.m_is_up) {
               if (way != Way::kWhole) return;
               return Deliver(site, node, kOrderTimeout,
                              [on_answer, no_answer] { on_answer(no_answer); });
             }
             Answer answer = Receive(worker, order, site.m_loop.m_now);
             if (way != Way::kWhole) return;
             Deliver(site, node, OrderDelay(site),
                     [on_answer, answer] { on_answer(answer); });
           });
}

/// A look waits at the worker until something ends or the wait is over.
void LookWhenDue(FakeSite& site, FakeSiteNode& node, const LookOrder& order,
                 const std::function<void(Result<WorkerReport>)>& on_answer,
                 TimePoint until) {
  const auto found = site.m_workers.find(order.m_worker);
  const bool has_end =
      found != site.m_workers.end() &&
      std::any_of(found->second->m_ended.begin(), found->second->m_ended.end(),
                  [&order](const EndedRow& row) {
                    return row.m_number > order.m_acknowledged;
                  });
  if (has_end || site.m_loop.m_now >= until) {
    return SendToWorker<LookOrder, Result<WorkerReport>>(
        site, node, order, on_answer, NoAnswer(order.m_worker.value()));
  }
  constexpr Duration kStep = std::chrono::milliseconds(10);
  Deliver(site, node, kStep, [&site, &node, order, on_answer, until] {
    LookWhenDue(site, node, order, on_answer, until);
  });
}

OrderSender MakeOrders(FakeSite& site, FakeSiteNode& node) {
  OrderSender orders;
  orders.m_start = [&site, &node](const std::string&, const StartOrder& order,
                                  auto on_answer) {
    SendToWorker<StartOrder, StartOutcome>(site, node, order, on_answer,
                                           StartOutcome::kUnanswered);
  };
  orders.m_stop = [&site, &node](const std::string&, const StopOrder& order,
                                 auto on_answer) {
    SendToWorker<StopOrder, Result<void>>(site, node, order, on_answer,
                                          NoAnswer(order.m_worker.value()));
  };
  orders.m_throttle = [](const std::string&, const PaceOrder&, auto on_answer) {
    on_answer(Success());
  };
  orders.m_poll = [&site, &node](const std::string&, const LookOrder& order,
                                 auto on_answer) {
    LookWhenDue(site, node, order, on_answer, site.m_loop.m_now + order.m_wait);
  };
  return orders;
}

FleetClock MakeClock(FakeSite& site, FakeSiteNode& node) {
  FleetClock clock;
  clock.m_now = [&site] { return site.m_loop.m_now; };
  clock.m_unix_ms = [&site] {
    return ToMilliseconds(site.m_loop.m_now.time_since_epoch());
  };
  clock.m_defer = [&site, &node](std::function<void()> run) {
    Deliver(site, node, Duration{}, std::move(run));
  };
  clock.m_run_after = [&site, &node](Duration delay,
                                     std::function<void()> run) {
    Deliver(site, node, delay, std::move(run));
  };
  return clock;
}

SiteCodec MakeCodec(FakeSite& site) {
  SiteCodec codec;
  codec.m_configuration_key = kConfiguration;
  codec.m_read_configuration = [&site](const std::string&) {
    return Result<JobRoutes>(site.m_routes);
  };
  codec.m_worker_prefix = kWorkers;
  codec.m_read_workers = [&site](const std::vector<StoredItem>&) {
    std::vector<ListedWorker> workers;
    for (const auto& [id, model] : site.m_workers) {
      if (site.m_unlisted.count(id) == 0) workers.push_back(model->m_listing);
    }
    return workers;
  };
  return codec;
}

void TickForever(FakeSite& site, FakeSiteNode& node) {
  Deliver(site, node, kTick, [&site, &node] {
    TickFleetNode(*node.m_node);
    TickForever(site, node);
  });
}

const StepPlan* StepOf(const FakeSite& site, const TaskReference& task) {
  const auto job = site.m_submitted.find(task.m_job);
  if (job == site.m_submitted.end()) return nullptr;
  return &job->second.m_steps[task.m_step];
}

std::string NameOf(const TaskReference& task) {
  return task.m_job.value() + "." + std::to_string(task.m_step) + "." +
         std::to_string(task.m_index);
}

void Break(FakeSite& site, const std::string& rule, const TaskReference& task) {
  if (!site.m_violation.empty()) return;
  site.m_violation =
      rule + " " + NameOf(task) + " at " +
      std::to_string(ToMilliseconds(site.m_loop.m_now.time_since_epoch()));
}

// What callers and workers are promised, from the workers' side alone.
void CheckStart(FakeSite& site, FleetWorkerModel& started,
                const TaskReference& task) {
  ++site.m_starts;
  for (auto& [id, worker] : site.m_workers) {
    Advance(*worker, site.m_loop.m_now);
    if (worker.get() == &started || !worker->m_is_up) continue;
    if (worker->m_running.count(task) > 0) Break(site, "twice", task);
  }
  Resources used;
  for (const auto& [running, run] : started.m_running) {
    const StepPlan* step = StepOf(site, running);
    if (step != nullptr) used = used + step->m_demand;
  }
  if (!Fits(used, started.m_listing.m_capacity)) Break(site, "room", task);
  constexpr std::size_t kAttempts = 3;
  if (site.m_failures[task].size() >= kAttempts) {
    Break(site, "attempts", task);
  }
}

void ExpireForever(FakeSite& site) {
  RunAfter(site.m_loop, kLeaseCheck, [&site] {
    if (site.m_loop.m_now >= site.m_faults.m_store_down_until) {
      ExpireLeases(site.m_store, site.m_loop.m_now);
    }
    for (auto& entry : site.m_workers) {
      Advance(*entry.second, site.m_loop.m_now);
    }
    ExpireForever(site);
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
  model->m_born_at = site.m_loop.m_now;
  model->m_clock_rate = Chance(site.m_loop, 0.5) ? 0.98 : 1.0;
  model->m_plan_run = [&site](const TaskReference&, RunNumber) {
    ModelRun run;
    run.m_ends_at = site.m_loop.m_now +
                    DelayBetween(site.m_loop, std::chrono::milliseconds(50),
                                 std::chrono::milliseconds(1500));
    if (Chance(site.m_loop, 0.05)) run.m_end = RunEnd::kFailed;
    return run;
  };
  FleetWorkerModel* raw = model.get();
  model->m_on_start = [&site, raw](const TaskReference& task, RunNumber) {
    CheckStart(site, *raw, task);
  };
  model->m_on_end = [&site, id](const EndedRow& row) {
    if (row.m_end == RunEnd::kFailed) {
      site.m_failures[row.m_task].insert({id, row.m_run});
    }
  };
  site.m_workers[id] = std::move(model);
}

void Configure(FakeSite& site, const JobRoutes& routes) {
  site.m_routes = routes;
  StoreTransaction transaction;
  transaction.m_puts.push_back({kConfiguration,
                                std::to_string(routes.m_version.value()),
                                StoreLeaseId()});
  Apply(site.m_store, transaction);
}

FakeSiteNode& AddSiteNode(FakeSite& site, const std::string& name) {
  if (site.m_nodes.empty()) {
    Configure(site, site.m_routes);
    ExpireForever(site);
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
  auto machines = LoadFleetMachines(DAISYARCH_CHARTS);
  auto leadership = LeadershipMachine::Load(DAISYARCH_CHARTS, "leadership",
                                            LeadershipBinding());
  node.m_node = std::unique_ptr<FleetNode>(new FleetNode{
      FleetRuntime{settings, MakeClock(site, node), MakeStore(site, node),
                   MakeOrders(site, node), MakeCodec(site),
                   std::move(machines).assume_value(),
                   std::move(leadership).assume_value()}});
  StartFleetNode(*node.m_node);
  TickForever(site, node);
  return node;
}

void KillSiteNode(FakeSite& site, FakeSiteNode& node) {
  node.m_is_alive = false;
  // Its events are still in the loop and find it dead.
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
  constexpr Duration kPatience = std::chrono::seconds(3);
  if (node.m_is_alive) {
    AcceptJob(node.m_node->m_runtime, plan, site.m_loop.m_now + kPatience,
              [&site, key = plan.m_key](Acceptance acceptance) {
                if (acceptance == Acceptance::kStored) {
                  site.m_accepted.insert(key);
                }
              });
  }
  // Whatever the answer, or none: the caller asks again elsewhere.
  RunAfter(site.m_loop, kPatience + kTick, [&site, plan] {
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

JobState StoredState(const FakeSite& site, const JobKey& key) {
  const auto found = site.m_store.m_entries.find(ProgressItemKey(key));
  if (found == site.m_store.m_entries.end()) return JobState::kQueued;
  const auto progress = DecodeCbor<JobProgress>(found->second.m_value,
                                                "read progress", key.value());
  return progress ? progress.assume_value().m_state : JobState::kQueued;
}

std::string FindUnfinished(const FakeSite& site) {
  for (const auto& [key, plan] : site.m_submitted) {
    const JobState state = StoredState(site, key);
    if (state != JobState::kCompleted && state != JobState::kFailed) {
      return key.value();
    }
  }
  return "";
}

}  // namespace daisyarch::fleet
