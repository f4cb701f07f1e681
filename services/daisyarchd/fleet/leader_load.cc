#include <algorithm>
#include <cstdlib>
#include <utility>

#include "decisions/fleet/late_start.h"
#include "fleet/leader.h"
#include "fleet/store_keys.h"
#include "log/log.h"
#include "wire/fleet_fields.h"
#include "wire/roster_entry_text.h"

namespace daisyarch::fleet {

namespace {

// A page can be 1 MB, whose transfer alone takes 0.8 s at 10 Mbit/s.
constexpr Duration kLoadTimeout = std::chrono::seconds(3);
// One turn of the loop decodes this much at most, but one job at least.
constexpr std::size_t kLoadedItemsPerTurn = 32;
constexpr std::size_t kLoadedBytesPerTurn = 64UL * 1024;
const std::string kCancelSuffix = "/cancel";

TimePoint Now(const Leader& leader) { return leader.m_runtime.m_clock.m_now(); }

bool IsCancelKey(const std::string& key) {
  return key.size() > kCancelSuffix.size() &&
         key.compare(key.size() - kCancelSuffix.size(), kCancelSuffix.size(),
                     kCancelSuffix) == 0;
}

JobKey JobKeyOfItem(const std::string& key) {
  const std::string rest = key.substr(kJobPrefix.size());
  return JobKey(rest.substr(0, rest.find('/')));
}

void AddStoredJob(Leader& leader, const std::string& key,
                  const std::string& value, const JobProgress& progress) {
  const JobKey job_key = JobKeyOfItem(key);
  auto plan = DecodeCbor<JobPlan>(value, "read job", key);
  if (!plan) return LogError("job_unreadable", plan.assume_error());
  const std::int64_t age_ms = leader.m_runtime.m_clock.m_unix_ms() -
                              plan.assume_value().m_accepted_unix_ms;
  const TimePoint accepted_at =
      Now(leader) - FromMilliseconds(std::max<std::int64_t>(0, age_ms));
  AddJob(leader.m_fleet, std::move(plan).assume_value(), progress, accepted_at);
  if (leader.m_cancelled_jobs.count(job_key) > 0) {
    CancelJob(leader.m_fleet, job_key, Now(leader));
  }
}

void ApplyJobChange(Leader& leader, const StoreChange& change) {
  // The watch also reports the removals that this leader makes itself.
  if (!change.m_value) return;
  const JobKey key = JobKeyOfItem(change.m_key);
  if (IsCancelKey(change.m_key)) {
    leader.m_cancelled_jobs.insert(key);
    LogEvent(
        LogLevel::kInfo, "job_cancelled",
        {{"job", key.value()}, {"store_revision", change.m_revision.value()}});
    CancelJob(leader.m_fleet, key, Now(leader));
    return;
  }
  if (leader.m_fleet.m_ended_jobs.count(key) > 0) return;
  if (FindJob(leader.m_fleet, key) != nullptr) return;
  AddStoredJob(leader, change.m_key, *change.m_value, {});
  Job* job = FindJob(leader.m_fleet, key);
  if (job == nullptr) return;
  // A late watch may bring a job long after it was stored.
  if (leader.m_jobs_watch->m_known_at < leader.m_inherits_jobs_until) {
    MarkInherited(leader.m_fleet, *job);
  }
}

// Makes up for changes that the watch missed. Known jobs stay as they are.
void ApplyJobListing(Leader& leader, const std::vector<StoredItem>& items) {
  for (const StoredItem& item : items) {
    ApplyJobChange(leader,
                   StoreChange{item.m_key, item.m_revision, item.m_value});
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
    ApplyJobListing(*self, items);
    RequestSchedulingPass(self);
  };
  watch->m_on_changes = [weak](const std::vector<StoreChange>& changes) {
    const LeaderPointer self = weak.lock();
    if (!self) return;
    for (const StoreChange& change : changes) ApplyJobChange(*self, change);
    RequestSchedulingPass(self);
  };
  watch->m_on_failure = [weak](const Error& error) {
    const LeaderPointer self = weak.lock();
    if (!self) return;
    // Only the first of several failures in a row is logged.
    if (self->m_jobs_watch->m_answered_at < self->m_jobs_watch_lost_at) return;
    self->m_jobs_watch_lost_at = Now(*self);
    LogError("jobs_watch_lost", error);
  };
  leader->m_jobs_watch = std::move(watch);
}

// What the store holds of the jobs, while it is added to the fleet in parts.
struct LoadedState {
  StoreListing m_jobs;
  StoreListing m_progress_items;
  std::size_t m_next_progress_item = 0;
  std::size_t m_next_job = 0;
  /// The progress items of each stored job, by index. They are decoded together
  /// with the job, as the decoded rows take several times their memory.
  std::map<JobKey, std::vector<std::size_t>> m_items_of_job;
};

// Returns the job and the part that the key of a progress item names.
std::pair<JobKey, ProgressPart> ProgressItemOf(const std::string& item_key) {
  const std::string rest = item_key.substr(kProgressPrefix.size());
  const std::size_t slash = rest.find('/');
  if (slash == std::string::npos) return {JobKey(rest), ProgressPart()};
  return {JobKey(rest.substr(0, slash)),
          ProgressPart(std::strtoull(rest.c_str() + slash + 1, nullptr, 10))};
}

// Adds what the item holds to `whole`, and frees its value.
void DecodeProgressItem(Leader& leader, StoredItem& item, JobProgress& whole) {
  const auto [key, part] = ProgressItemOf(item.m_key);
  leader.m_progress_revisions[item.m_key] = item.m_revision;
  const std::string value = std::move(item.m_value);
  auto decoded = DecodeCbor<JobProgress>(value, "read progress", item.m_key);
  if (!decoded) return LogError("progress_unreadable", decoded.assume_error());
  JobProgress& progress = decoded.assume_value();
  if (progress.m_ended_unix_ms > 0) {
    leader.m_fleet.m_ended_jobs[key] = progress.m_ended_unix_ms;
    for (const TaskProgress& task : progress.m_tasks) {
      RestoreLateStartOfEndedJob(leader.m_fleet, task, key);
    }
  }
  if (part == ProgressPart()) {
    whole.m_state = progress.m_state;
    whole.m_ended_unix_ms = progress.m_ended_unix_ms;
  }
  for (TaskProgress& task : progress.m_tasks) {
    task.m_stored_part = part;
    whole.m_tasks.push_back(std::move(task));
  }
}

// Takes the next progress item, and decodes it unless its job is still stored.
// Returns the bytes that were decoded.
std::size_t AddLoadedProgress(Leader& leader, LoadedState& loaded) {
  const std::size_t index = loaded.m_next_progress_item++;
  StoredItem& item = loaded.m_progress_items.m_items[index];
  const auto [key, part] = ProgressItemOf(item.m_key);
  const auto job = loaded.m_items_of_job.find(key);
  if (job != loaded.m_items_of_job.end()) {
    job->second.push_back(index);
    return 0;
  }
  if (part != ProgressPart()) leader.m_obsolete_parts.insert(item.m_key);
  const std::size_t bytes = item.m_value.size();
  JobProgress whole;
  DecodeProgressItem(leader, item, whole);
  return bytes;
}

// Returns the bytes that were decoded.
std::size_t AddLoadedJob(Leader& leader, LoadedState& loaded) {
  StoredItem& item = loaded.m_jobs.m_items[loaded.m_next_job++];
  if (IsCancelKey(item.m_key)) return 0;
  const JobKey key = JobKeyOfItem(item.m_key);
  std::size_t bytes = item.m_value.size();
  JobProgress progress;
  for (const std::size_t index : loaded.m_items_of_job.at(key)) {
    StoredItem& part = loaded.m_progress_items.m_items[index];
    bytes += part.m_value.size();
    DecodeProgressItem(leader, part, progress);
  }
  if (leader.m_fleet.m_ended_jobs.count(key) > 0) return bytes;
  AddStoredJob(leader, item.m_key, item.m_value, progress);
  item.m_value = {};
  Job* job = FindJob(leader.m_fleet, key);
  if (job != nullptr) MarkInherited(leader.m_fleet, *job);
  return bytes;
}

// Adds the next part of the state; returns whether all of it is added.
bool AddLoadedPart(Leader& leader, LoadedState& loaded) {
  const auto& progress_items = loaded.m_progress_items.m_items;
  const auto& jobs = loaded.m_jobs.m_items;
  SetTime(leader.m_fleet, Now(leader), leader.m_runtime.m_clock.m_unix_ms());
  std::size_t bytes = 0;
  for (std::size_t count = 0;
       count < kLoadedItemsPerTurn && bytes < kLoadedBytesPerTurn; ++count) {
    if (loaded.m_next_progress_item < progress_items.size()) {
      bytes += AddLoadedProgress(leader, loaded);
    } else if (loaded.m_next_job < jobs.size()) {
      bytes += AddLoadedJob(leader, loaded);
    }
  }
  return loaded.m_next_progress_item == progress_items.size() &&
         loaded.m_next_job == jobs.size();
}

void FinishLoad(const LeaderPointer& leader,
                const std::function<void()>& on_loaded) {
  leader->m_is_loaded = true;
  leader->m_loaded_at = Now(*leader);
  StartWorkersWatch(leader);
  StartEvacuationsWatch(leader);
  StartRelays(leader);
  LoadEffects(leader);
  on_loaded();
  TickWatch(leader->m_workers_watch, leader->m_runtime.m_store,
            leader->m_runtime.m_clock.m_now);
  TickEvacuationsWatch(leader);
}

void LoadRoster(const LeaderPointer& leader, std::function<void()> on_loaded) {
  const std::weak_ptr<Leader> weak = leader;
  leader->m_runtime.m_store.m_list(
      kRosterPrefix, kLoadTimeout,
      [weak, on_loaded = std::move(on_loaded)](Result<StoreListing> result) {
        const LeaderPointer self = weak.lock();
        if (!self) return;
        if (!result) return self->m_on_claim_lost("cannot read the roster");
        self->m_roster_revision = result.assume_value().m_as_of;
        for (const StoredItem& item : result.assume_value().m_items) {
          const WorkerId worker(item.m_key.substr(kRosterPrefix.size()));
          self->m_roster_item_revisions[worker] = item.m_revision;
          const TimePoint inherited_runs_until =
              InheritedRunsUntil(self->m_fleet.m_limits, self->m_predecessor,
                                 self->m_claim.m_term, worker, Now(*self));
          ApplyRosterLoaded(self->m_fleet,
                            DecodeRosterEntry(worker, item.m_value),
                            inherited_runs_until);
        }
        LoadStarts(self, [weak, on_loaded] {
          if (const LeaderPointer loaded = weak.lock()) {
            FinishLoad(loaded, on_loaded);
          }
        });
      });
}

// The claim has to be renewed meanwhile, so each part takes a turn of the loop.
void AddLoadedState(const LeaderPointer& leader,
                    const std::shared_ptr<LoadedState>& loaded,
                    std::function<void()> on_loaded) {
  if (AddLoadedPart(*leader, *loaded)) {
    StartJobsWatch(leader, loaded->m_jobs.m_as_of);
    return LoadRoster(leader, std::move(on_loaded));
  }
  const std::weak_ptr<Leader> weak = leader;
  leader->m_runtime.m_clock.m_defer(
      [weak, loaded, on_loaded = std::move(on_loaded)]() mutable {
        const LeaderPointer self = weak.lock();
        if (self) AddLoadedState(self, loaded, std::move(on_loaded));
      });
}

void LoadProgress(const LeaderPointer& leader, StoreListing jobs,
                  std::function<void()> on_loaded) {
  const std::weak_ptr<Leader> weak = leader;
  leader->m_runtime.m_store.m_list(
      kProgressPrefix, kLoadTimeout,
      [weak, jobs = std::move(jobs),
       on_loaded = std::move(on_loaded)](Result<StoreListing> result) mutable {
        const LeaderPointer self = weak.lock();
        if (!self) return;
        if (!result) return self->m_on_claim_lost("cannot read job progress");
        auto loaded = std::make_shared<LoadedState>();
        loaded->m_jobs = std::move(jobs);
        loaded->m_progress_items = std::move(result).assume_value();
        for (const StoredItem& item : loaded->m_jobs.m_items) {
          if (IsCancelKey(item.m_key)) {
            self->m_cancelled_jobs.insert(JobKeyOfItem(item.m_key));
          } else {
            loaded->m_items_of_job[JobKeyOfItem(item.m_key)];
          }
        }
        AddLoadedState(self, loaded, std::move(on_loaded));
      });
}

}  // namespace

void LoadLeader(const LeaderPointer& leader, const JobRoutes& routes,
                std::function<void()> on_loaded) {
  Fleet& fleet = leader->m_fleet;
  fleet.m_state_machines = &leader->m_runtime.m_fleet_state_machines;
  fleet.m_term = leader->m_claim.m_term;
  ApplyQueues(fleet, QueuesOf(routes));
  const std::weak_ptr<Leader> weak = leader;
  leader->m_runtime.m_store.m_list(
      kJobPrefix, kLoadTimeout,
      [weak,
       on_loaded = std::move(on_loaded)](Result<StoreListing> result) mutable {
        const LeaderPointer self = weak.lock();
        if (!self) return;
        if (!result) return self->m_on_claim_lost("cannot read the jobs");
        LoadProgress(self, std::move(result).assume_value(),
                     std::move(on_loaded));
      });
}

}  // namespace daisyarch::fleet
