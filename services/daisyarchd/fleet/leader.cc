#include "fleet/leader.h"

#include <utility>

#include "fleet/store_keys.h"
#include "log/log.h"
#include "wire/fleet_fields.h"

namespace daisyarch::fleet {

namespace {

constexpr Duration kListingInterval = std::chrono::milliseconds(700);
// A call on a connection that went silent is given up early, so that two of
// them fit into a listing's age.
constexpr Duration kListingPatience = std::chrono::milliseconds(700);
// A page may have 1 MB, which takes 0.8 s on a link of 10 Mbit/s alone.
constexpr Duration kLoadPatience = std::chrono::seconds(3);
// A listing that failed has used up most of the age that it may have.
constexpr Duration kListingRetry = std::chrono::milliseconds(100);
const std::string kCancelSuffix = "/cancel";

TimePoint Now(const Leader& leader) { return leader.m_runtime.m_clock.m_now(); }

bool IsCancelKey(const std::string& key) {
  return key.size() > kCancelSuffix.size() &&
         key.compare(key.size() - kCancelSuffix.size(), kCancelSuffix.size(),
                     kCancelSuffix) == 0;
}

JobKey JobOfItem(const std::string& key) {
  const std::string rest = key.substr(kJobPrefix.size());
  return JobKey(rest.substr(0, rest.find('/')));
}

void TakeJob(Leader& leader, const std::string& key, const std::string& value,
             const JobProgress& progress) {
  const JobKey job_key = JobOfItem(key);
  auto plan = DecodeCbor<JobPlan>(value, "read job", key);
  if (!plan) return LogError("job_unreadable", plan.assume_error());
  const std::int64_t age_ms = leader.m_runtime.m_clock.m_unix_ms() -
                              plan.assume_value().m_accepted_unix_ms;
  const TimePoint accepted_at =
      Now(leader) - FromMilliseconds(std::max<std::int64_t>(0, age_ms));
  AddJob(leader.m_fleet, std::move(plan).assume_value(), progress, accepted_at);
  if (leader.m_cancelled.count(job_key) > 0) {
    CancelJob(leader.m_fleet, job_key, Now(leader));
  }
}

void TakeChange(Leader& leader, const StoreChange& change) {
  // This leader's own removals come back as changes.
  if (!change.m_value) return;
  const JobKey key = JobOfItem(change.m_key);
  if (IsCancelKey(change.m_key)) {
    leader.m_cancelled.insert(key);
    LogEvent(
        LogLevel::kInfo, "job_cancelled",
        {{"job", key.value()}, {"store_revision", change.m_revision.value()}});
    CancelJob(leader.m_fleet, key, Now(leader));
    return;
  }
  if (leader.m_ended.count(key) > 0) return;
  TakeJob(leader, change.m_key, *change.m_value, {});
}

// A history that was lost is made up for by the listing; jobs that are known
// already are left as they are.
void TakeListing(Leader& leader, const std::vector<StoredItem>& items) {
  for (const StoredItem& item : items) {
    TakeChange(leader, StoreChange{item.m_key, item.m_revision, item.m_value});
  }
}

void StartJobsWatch(const LeaderPointer& leader, StoreRevision as_of) {
  auto watch = std::make_shared<PrefixWatch>();
  watch->m_prefix = kJobPrefix;
  watch->m_as_of = as_of;
  watch->m_has_listing = true;
  const std::weak_ptr<Leader> weak = leader;
  watch->m_on_listing = [weak](const std::vector<StoredItem>& items) {
    const LeaderPointer self = weak.lock();
    if (!self) return;
    TakeListing(*self, items);
    SettleSoon(self);
  };
  watch->m_on_changes = [weak](const std::vector<StoreChange>& changes) {
    const LeaderPointer self = weak.lock();
    if (!self) return;
    for (const StoreChange& change : changes) TakeChange(*self, change);
    SettleSoon(self);
  };
  leader->m_jobs_watch = std::move(watch);
}

// One line when listings cease and one when they come again.
void NoteListing(Leader& leader, const Result<StoreListing>& result) {
  if (leader.m_has_listing == result.has_value()) return;
  leader.m_has_listing = result.has_value();
  if (!result) {
    return LogError("worker_listing_lost", result.assume_error());
  }
  LogEvent(
      LogLevel::kInfo, "worker_listing_regained",
      {{"age_ms", InMilliseconds(Now(leader) - leader.m_fleet.m_listed_at)},
       {"store_revision", result.assume_value().m_as_of.value()}});
}

void ListWorkers(const LeaderPointer& leader) {
  if (leader->m_is_listing) return;
  leader->m_is_listing = true;
  const TimePoint asked_at = Now(*leader);
  const std::weak_ptr<Leader> weak = leader;
  leader->m_runtime.m_store.m_list(
      leader->m_runtime.m_codec.m_worker_prefix, kListingPatience,
      [weak, asked_at](Result<StoreListing> result) {
        const LeaderPointer self = weak.lock();
        if (!self) return;
        self->m_is_listing = false;
        if (!result) {
          self->m_next_listing_at = Now(*self) + kListingRetry;
          return NoteListing(*self, result);
        }
        NoteListing(*self, result);
        self->m_next_listing_at = asked_at + kListingInterval;
        self->m_has_workers = true;
        ApplyListing(self->m_fleet,
                     self->m_runtime.m_codec.m_read_workers(
                         result.assume_value().m_items),
                     asked_at, Now(*self));
        SettleSoon(self);
      });
}

struct Loaded {
  StoreListing m_jobs;
  std::map<JobKey, JobProgress> m_progress;
};

void TakeProgress(Leader& leader, const StoreListing& listing, Loaded& loaded) {
  for (const StoredItem& item : listing.m_items) {
    const JobKey key(item.m_key.substr(kProgressPrefix.size()));
    leader.m_progress_revisions[key] = item.m_revision;
    auto progress =
        DecodeCbor<JobProgress>(item.m_value, "read progress", item.m_key);
    if (!progress) {
      LogError("progress_unreadable", progress.assume_error());
      continue;
    }
    if (progress.assume_value().m_ended_unix_ms > 0) {
      leader.m_ended[key] = progress.assume_value().m_ended_unix_ms;
    }
    loaded.m_progress[key] = std::move(progress).assume_value();
  }
}

void TakeJobs(Leader& leader, const Loaded& loaded) {
  for (const StoredItem& item : loaded.m_jobs.m_items) {
    if (IsCancelKey(item.m_key)) {
      leader.m_cancelled.insert(JobOfItem(item.m_key));
    }
  }
  for (const StoredItem& item : loaded.m_jobs.m_items) {
    if (IsCancelKey(item.m_key)) continue;
    const JobKey key = JobOfItem(item.m_key);
    if (leader.m_ended.count(key) > 0) continue;
    const auto progress = loaded.m_progress.find(key);
    TakeJob(
        leader, item.m_key, item.m_value,
        progress == loaded.m_progress.end() ? JobProgress() : progress->second);
    Job* job = FindJob(leader.m_fleet, key);
    if (job != nullptr) job->m_is_inherited = true;
  }
}

void LoadRoster(const LeaderPointer& leader, std::function<void()> on_loaded) {
  const std::weak_ptr<Leader> weak = leader;
  leader->m_runtime.m_store.m_list(
      kRosterPrefix, kLoadPatience,
      [weak, on_loaded = std::move(on_loaded)](Result<StoreListing> result) {
        const LeaderPointer self = weak.lock();
        if (!self) return;
        if (!result) return self->m_on_claim_lost("roster not read");
        for (const StoredItem& item : result.assume_value().m_items) {
          const WorkerId worker(item.m_key.substr(kRosterPrefix.size()));
          const TimePoint unseen_until =
              InheritedRunsUntil(self->m_fleet.m_limits, self->m_predecessor,
                                 self->m_claim.m_term, worker, Now(*self));
          ApplyRosterLoaded(self->m_fleet, {worker, item.m_value},
                            unseen_until);
        }
        self->m_is_loaded = true;
        on_loaded();
        ListWorkers(self);
      });
}

void LoadProgress(const LeaderPointer& leader, StoreListing jobs,
                  std::function<void()> on_loaded) {
  const std::weak_ptr<Leader> weak = leader;
  leader->m_runtime.m_store.m_list(
      kProgressPrefix, kLoadPatience,
      [weak, jobs = std::move(jobs),
       on_loaded = std::move(on_loaded)](Result<StoreListing> result) mutable {
        const LeaderPointer self = weak.lock();
        if (!self) return;
        if (!result) return self->m_on_claim_lost("progress not read");
        Loaded loaded;
        loaded.m_jobs = std::move(jobs);
        TakeProgress(*self, result.assume_value(), loaded);
        TakeJobs(*self, loaded);
        StartJobsWatch(self, loaded.m_jobs.m_as_of);
        LoadRoster(self, std::move(on_loaded));
      });
}

std::string AddressOf(const Leader& leader, const WorkerId& worker) {
  const auto found = leader.m_fleet.m_workers.find(worker);
  if (found == leader.m_fleet.m_workers.end()) return "";
  return found->second.m_listing.m_address;
}

void SendOne(const LeaderPointer& leader, const StartOrder& order) {
  const std::weak_ptr<Leader> weak = leader;
  leader->m_runtime.m_metrics->Count("daisyarch_starts_total", "");
  leader->m_runtime.m_orders.m_start(
      AddressOf(*leader, order.m_worker), order,
      [weak, order](StartOutcome outcome) {
        const LeaderPointer self = weak.lock();
        if (!self) return;
        if (outcome != StartOutcome::kStarted) {
          LogEvent(
              LogLevel::kWarning, "start_failed",
              {{"job", order.m_task.m_job.value()},
               {"step", std::uint64_t{order.m_task.m_step}},
               {"task", std::uint64_t{order.m_task.m_index}},
               {"run", order.m_run.value()},
               {"worker", order.m_worker.value()},
               {"outcome",
                outcome == StartOutcome::kRefused ? "refused" : "unanswered"}});
        }
        ApplyStartOutcome(self->m_fleet, order, outcome, Now(*self));
        SettleSoon(self);
      });
}

// An order that was overtaken by one under a newer token of this leader says
// nothing of other leaders.
void AfterFence(Leader& leader, const WorkerId& worker, FencingToken token) {
  const Worker* known = FindWorker(leader.m_fleet, worker);
  if (known != nullptr && token < known->m_token) return;
  leader.m_on_claim_lost("fenced by worker " + worker.value());
}

// Stops and paces differ in how they are sent alone.
void AfterOrder(const std::weak_ptr<Leader>& weak, const WorkerId& worker,
                FencingToken token, const Result<void>& result) {
  const LeaderPointer self = weak.lock();
  if (!self || result) return;
  if (result.assume_error().m_code == ErrorCode::kConflict) {
    return AfterFence(*self, worker, token);
  }
  if (result.assume_error().m_code == ErrorCode::kUnavailable) return;
  ApplyOrderFailure(self->m_fleet, worker);
  SettleSoon(self);
}

void SendOne(const LeaderPointer& leader, const StopOrder& order) {
  const std::weak_ptr<Leader> weak = leader;
  leader->m_runtime.m_orders.m_stop(
      AddressOf(*leader, order.m_worker), order,
      [weak, worker = order.m_worker,
       token = order.m_token](const Result<void>& result) {
        AfterOrder(weak, worker, token, result);
      });
}

void SendOne(const LeaderPointer& leader, const ThrottleOrder& order) {
  const std::weak_ptr<Leader> weak = leader;
  leader->m_runtime.m_orders.m_pace(
      AddressOf(*leader, order.m_worker), order,
      [weak, worker = order.m_worker,
       token = order.m_token](const Result<void>& result) {
        AfterOrder(weak, worker, token, result);
      });
}

void SendOne(const LeaderPointer& leader, const PollOrder& order) {
  const std::weak_ptr<Leader> weak = leader;
  leader->m_runtime.m_orders.m_look(
      AddressOf(*leader, order.m_worker), order,
      [weak, order](Result<WorkerReport> result) {
        const LeaderPointer self = weak.lock();
        if (!self) return;
        if (!result) {
          if (result.assume_error().m_code == ErrorCode::kConflict) {
            AfterFence(*self, order.m_worker, order.m_token);
          }
          ApplyPollFailure(self->m_fleet, order.m_worker, order.m_poll_number,
                           Now(*self));
        } else {
          ApplyReport(self->m_fleet, order.m_worker, order.m_poll_number,
                      order.m_token, result.assume_value(), Now(*self));
        }
        SettleSoon(self);
      });
}

void Settle(const LeaderPointer& leader) {
  leader->m_is_settling = false;
  Fleet& fleet = leader->m_fleet;
  TickFleet(fleet, Now(*leader), leader->m_runtime.m_clock.m_unix_ms());
  if (fleet.m_needs_placement && leader->m_has_workers &&
      leader->m_may_start()) {
    PlaceRuns(fleet, Now(*leader));
  }
  const std::vector<Order> orders = std::move(fleet.m_orders);
  fleet.m_orders.clear();
  for (const Order& order : orders) {
    std::visit([&](const auto& one) { SendOne(leader, one); }, order);
  }
  LogFleetEvents(*leader);
  WriteRoster(leader);
  WriteChanges(leader);
}

}  // namespace

void LoadLeader(const LeaderPointer& leader, const JobRoutes& routes,
                std::function<void()> on_loaded) {
  Fleet& fleet = leader->m_fleet;
  fleet.m_machines = &leader->m_runtime.m_fleet_machines;
  fleet.m_term = leader->m_claim.m_term;
  ApplyQueues(fleet, QueuesOf(routes));
  const std::weak_ptr<Leader> weak = leader;
  leader->m_runtime.m_store.m_list(
      kJobPrefix, kLoadPatience,
      [weak,
       on_loaded = std::move(on_loaded)](Result<StoreListing> result) mutable {
        const LeaderPointer self = weak.lock();
        if (!self) return;
        if (!result) return self->m_on_claim_lost("jobs not read");
        LoadProgress(self, std::move(result).assume_value(),
                     std::move(on_loaded));
      });
}

void SettleSoon(const LeaderPointer& leader) {
  if (leader->m_is_settling) return;
  leader->m_is_settling = true;
  const std::weak_ptr<Leader> weak = leader;
  leader->m_runtime.m_clock.m_defer([weak] {
    const LeaderPointer self = weak.lock();
    if (self) Settle(self);
  });
}

void TickLeader(const LeaderPointer& leader) {
  if (!leader->m_is_loaded) return;
  TickWatch(leader->m_jobs_watch, leader->m_runtime.m_store,
            leader->m_runtime.m_clock.m_now);
  if (Now(*leader) >= leader->m_next_listing_at) ListWorkers(leader);
  WritePending(leader);
  WriteSettled(leader);
  RemoveOldProgress(leader);
  SettleSoon(leader);
}

bool HasStoredAll(const Leader& leader) {
  return leader.m_fleet.m_changed_jobs.empty() && !leader.m_fleet.m_is_storing;
}

}  // namespace daisyarch::fleet
