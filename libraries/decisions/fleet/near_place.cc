#include "decisions/fleet/near_place.h"

#include <algorithm>
#include <array>
#include <cmath>

#include "decisions/fleet/occurrences.h"

namespace daisyarch::fleet {

namespace {

// Bounds what a wait can cost if all estimates are wrong, and keeps it well
// below the time after which callers count a step with free capacity as
// stalled.
constexpr Duration kLongestWait = std::chrono::milliseconds(1000);
// Below this, the delays of reports and orders decide and not the run times.
constexpr Duration kMinimumGain = std::chrono::milliseconds(30);
// A step run decides once and looks at no more than this.
constexpr std::size_t kMaximumWorkers = 64;
constexpr std::size_t kMaximumRuns = 256;
constexpr std::size_t kMaximumPlaces = 64;
// A run that has taken this many deviations longer than expected is a
// straggler: its estimate says nothing about its end.
constexpr int kStragglerDeviations = 2;
// Half the width of an even distribution, in its deviations.
constexpr double kHalfWidth = 1.7320508;
// Places for tasks that need nothing of a resource.
constexpr double kUnlimitedPlaces = 1000;
// Points in time at which a wait may end.
constexpr std::size_t kPoints = 16;
using Curve = std::array<double, kPoints + 1>;

Duration Scaled(Duration duration, double factor) {
  return std::chrono::duration_cast<Duration>(
      std::chrono::duration<double, Duration::period>(
          static_cast<double>(duration.count()) * factor));
}

bool HasLabel(const Worker& worker, const std::string& label) {
  const auto& labels = worker.m_listing.m_labels;
  return std::find(labels.begin(), labels.end(), label) != labels.end();
}

// Returns how many places are expected to have come free at each point.
Curve PlacesOverTime(const std::vector<ExpectedRoom>& rooms, Duration horizon) {
  Curve places{};
  for (const ExpectedRoom& room : rooms) {
    const auto earliest = static_cast<double>(room.m_earliest.count());
    const double width =
        std::max(1.0, static_cast<double>(room.m_latest.count()) - earliest);
    for (std::size_t point = 1; point <= kPoints; ++point) {
      const double at = static_cast<double>(horizon.count()) *
                        static_cast<double>(point) / kPoints;
      places[point] +=
          room.m_places * std::clamp((at - earliest) / width, 0.0, 1.0);
    }
  }
  return places;
}

// The ends of many runs that know nothing of each other are nearly a Poisson
// process. Returns the probability of at least `count` ends.
double ProbabilityOfAtLeast(std::size_t count, double expected) {
  double term = std::exp(-expected);
  double fewer = 0;
  for (std::size_t ends = 0; ends < count; ++ends) {
    fewer += term;
    term *= expected / static_cast<double>(ends + 1);
  }
  return std::clamp(1.0 - fewer, 0.0, 1.0);
}

// Returns the wait with the highest expected gain for a step whose last task
// gets the place of this number. A wait that ends without a place costs its
// whole time, any other the time until the place.
PayingWait BestWait(const Curve& places, std::size_t number, Duration horizon,
                    Duration gain) {
  const double step =
      static_cast<double>(horizon.count()) / static_cast<double>(kPoints);
  PayingWait best;
  double cost = 0;
  double still_waits = 1;
  for (std::size_t point = 1; point <= kPoints; ++point) {
    const double has_place = ProbabilityOfAtLeast(number, places[point]);
    cost += step * (still_waits + 1 - has_place) / 2;
    still_waits = 1 - has_place;
    const Duration expected =
        Scaled(gain, has_place) - Scaled(Duration(1), cost);
    if (expected > best.m_expected_gain) {
      best = {Scaled(Duration(1), step * static_cast<double>(point)), expected};
    }
  }
  return best;
}

// Returns for how many tasks a resource has room once a run has ended; a
// fraction if further runs have to end before one task has room.
double PlacesOf(std::int64_t needed, std::int64_t free, std::int64_t freed) {
  if (needed <= 0) return kUnlimitedPlaces;
  const auto gained = static_cast<double>(freed);
  if (free >= needed) {
    return (static_cast<double>(free) + gained) / static_cast<double>(needed);
  }
  if (free + freed < needed) return gained / static_cast<double>(needed - free);
  return std::max(1.0, gained / static_cast<double>(needed));
}

double PlacesFreed(const Resources& needed, const Resources& free,
                   const Resources& freed) {
  return std::min(
      {PlacesOf(needed.m_processors.value(), free.m_processors.value(),
                freed.m_processors.value()),
       PlacesOf(needed.m_memory.value(), free.m_memory.value(),
                freed.m_memory.value()),
       PlacesOf(needed.m_accelerators.value(), free.m_accelerators.value(),
                freed.m_accelerators.value())});
}

// Adds the room that the end of the worker's run will give to such a task.
void AddRoom(Fleet& fleet, const Worker& worker, const TaskReference& run,
             const StepPlan& step, TimePoint now,
             std::vector<ExpectedRoom>& rooms) {
  Job* job = nullptr;
  const Task* task = FindTask(fleet, run, job);
  if (task == nullptr || !IsPlaced(task->m_state)) return;
  const StepPlan& other = job->m_plan.m_steps[run.m_step];
  if (other.m_kind == StepKind::kService) return;
  if (other.m_processor_use == ProcessorUse::kBestEffort) return;
  const TimePoint since = task->m_started_at != TimePoint()
                              ? task->m_started_at
                              : task->m_start_sent_at;
  if (since == TimePoint()) return;
  const bool is_remote =
      !other.m_data_rack.empty() && !HasLabel(worker, other.m_data_rack);
  const double slowness =
      SlownessOf(fleet.m_run_times, worker.m_listing.m_worker) *
      (is_remote ? fleet.m_limits.m_remote_slowdown : 1.0);
  const Duration elapsed = Scaled(now - since, 1.0 / slowness);
  const QueueId& queue = job->m_plan.m_queue.m_id;
  const RunTimeEstimate whole =
      ExpectedRunTime(fleet.m_run_times, queue, other);
  if (elapsed > whole.m_expected + whole.m_deviation * kStragglerDeviations) {
    return;
  }
  const RunTimeEstimate left =
      RemainingRunTime(fleet.m_run_times, queue, other, elapsed);
  const Duration expected = Scaled(left.m_expected, slowness);
  const Duration half = Scaled(left.m_deviation, slowness * kHalfWidth);
  const double places =
      PlacesFreed(step.m_demand, worker.m_listing.m_capacity - worker.m_used,
                  other.m_demand);
  if (places <= 0) return;
  rooms.push_back(
      {std::max(Duration{}, expected - half), expected + half, places});
}

std::vector<ExpectedRoom> ExpectedRooms(Fleet& fleet, const IndexedPool& pool,
                                        const StepPlan& step, TimePoint now) {
  std::vector<ExpectedRoom> rooms;
  const auto near = pool.m_by_label.find(step.m_data_rack);
  if (near == pool.m_by_label.end()) return rooms;
  std::size_t workers = 0;
  std::size_t runs = 0;
  for (const Worker* worker : near->second) {
    if (++workers > kMaximumWorkers) break;
    if (worker->m_quarantined_until > now) continue;
    if (worker->m_isolated_for != JobKey()) continue;
    if (!step.m_required_label.empty() &&
        !HasLabel(*worker, step.m_required_label)) {
      continue;
    }
    if (!Fits(step.m_demand, worker->m_listing.m_capacity)) continue;
    for (const TaskReference& run : worker->m_runs) {
      if (++runs > kMaximumRuns) return rooms;
      AddRoom(fleet, *worker, run, step, now, rooms);
    }
  }
  return rooms;
}

// Returns when the occurrence of the job misses its objective.
TimePoint DueOf(const Fleet& fleet, const Job& job, std::uint32_t occurrence) {
  const JobPlan& plan = job.m_plan;
  if (!plan.m_is_timed) return job.m_accepted_at + job.m_objective;
  const std::int64_t due =
      plan.m_first_due_unix_ms + plan.m_interval_ms * occurrence;
  return TimePoint(std::chrono::milliseconds(due - fleet.m_unix_offset_ms)) +
         job.m_objective;
}

void SetTimer(NearWaits& waits, const StepRunKey& key, const NearWait& wait,
              TimePoint until) {
  waits.m_timers.erase({until, key});
  if (!wait.m_ends.empty()) waits.m_timers.emplace(wait.m_ends.front(), key);
}

void AddEvent(Fleet& fleet, const char* name, const StepRunKey& key,
              const Job* job, const WorkerId& worker,
              const NearWaitEvent& event) {
  FleetEvent added;
  added.m_name = name;
  added.m_job = key.first;
  added.m_worker = worker;
  const std::size_t steps = job == nullptr ? 1 : job->StepCount();
  added.m_task =
      TaskReference{key.first, static_cast<std::uint32_t>(key.second / steps),
                    static_cast<std::uint32_t>(key.second % steps), 0};
  added.m_age = event.m_wait;
  added.m_near_wait = event;
  fleet.m_events.push_back(std::move(added));
}

// Ends the first `count` waits of the step run.
void EndWaits(Fleet& fleet, const StepRunKey& key, std::size_t count,
              const char* name, const WorkerId& worker, TimePoint now) {
  NearWaits& waits = fleet.m_near_waits;
  const auto entry = waits.m_by_step_run.find(key);
  if (entry == waits.m_by_step_run.end() || count == 0) return;
  NearWait& wait = entry->second;
  const TimePoint until = wait.m_ends.front();
  wait.m_ends.erase(wait.m_ends.begin(),
                    wait.m_ends.begin() + static_cast<std::ptrdiff_t>(count));
  SetTimer(waits, key, wait, until);
  const auto tasks = waits.m_tasks_by_rack.find(wait.m_rack);
  tasks->second -= static_cast<std::uint32_t>(count);
  if (tasks->second == 0) waits.m_tasks_by_rack.erase(tasks);
  NearWaitEvent event;
  event.m_rack = wait.m_rack.second;
  event.m_tasks = static_cast<std::uint32_t>(count);
  event.m_wait = now - wait.m_begun_at;
  AddEvent(fleet, name, key, FindJob(fleet, key.first), worker, event);
  if (wait.m_ends.empty()) waits.m_by_step_run.erase(entry);
}

std::size_t WaitsOf(const Fleet& fleet, const StepRunKey& key) {
  const auto& waits = fleet.m_near_waits.m_by_step_run;
  const auto wait = waits.find(key);
  return wait == waits.end() ? 0 : wait->second.m_ends.size();
}

// Lets all waiting tasks of the step run wait if that pays: a step ends with
// the last of its tasks, so that it gains nothing if one starts elsewhere.
void BeginWaits(Fleet& fleet, const Job& job, std::size_t step_run_index,
                const IndexedPool& pool, const Worker& chosen, TimePoint now) {
  const NearOutlook outlook = OutlookOf(fleet, job, step_run_index, pool, now);
  const std::uint32_t tasks = StepRunAt(job, step_run_index).m_waiting;
  const auto paying = DecideNearWait(outlook, tasks);
  if (!paying) return;
  const StepRunKey key{job.m_plan.m_key, step_run_index};
  // A job of the same key may have been removed since they began.
  EndWaits(fleet, key, WaitsOf(fleet, key), "near_wait_given_up", WorkerId(),
           now);
  const StepPlan& step = job.m_plan.m_steps[step_run_index % job.StepCount()];
  NearWait wait;
  wait.m_rack = {chosen.m_listing.m_pool, step.m_data_rack};
  wait.m_begun_at = now;
  wait.m_ends.assign(tasks, now + paying->m_wait);
  NearWaits& waits = fleet.m_near_waits;
  waits.m_tasks_by_rack[wait.m_rack] += tasks;
  waits.m_timers.emplace(wait.m_ends.front(), key);
  waits.m_by_step_run.insert_or_assign(key, std::move(wait));
  NearWaitEvent event;
  event.m_rack = step.m_data_rack;
  event.m_tasks = tasks;
  event.m_ahead = outlook.m_ahead;
  event.m_expected_gain = paying->m_expected_gain;
  event.m_wait = paying->m_wait;
  AddEvent(fleet, "near_wait_begun", key, &job, chosen.m_listing.m_worker,
           event);
}

bool HasRoom(const Worker& worker, const StepPlan& step, TimePoint now) {
  return worker.m_quarantined_until <= now &&
         worker.m_isolated_for == JobKey() &&
         Fits(step.m_demand, worker.m_listing.m_capacity - worker.m_used);
}

}  // namespace

std::optional<PayingWait> DecideNearWait(const NearOutlook& outlook,
                                         std::size_t tasks) {
  // A wait as long as its gain is a loss even if it ends with a place.
  const Duration horizon =
      std::min({outlook.m_gain, outlook.m_longest, kLongestWait});
  const std::size_t number = outlook.m_ahead + tasks;
  if (horizon <= Duration{} || tasks == 0 || number > kMaximumPlaces) {
    return std::nullopt;
  }
  const Curve places = PlacesOverTime(outlook.m_rooms, horizon);
  const PayingWait wait = BestWait(places, number, horizon, outlook.m_gain);
  if (wait.m_expected_gain < kMinimumGain) return std::nullopt;
  return wait;
}

bool MayWaitForNearPlace(const Fleet& fleet, const StepPlan& step) {
  return !step.m_data_rack.empty() && fleet.m_limits.m_remote_slowdown > 1.0 &&
         step.m_kind == StepKind::kFinite &&
         step.m_processor_use == ProcessorUse::kReserved &&
         step.m_latency_target <= Duration{} && !step.m_is_gang &&
         step.m_maximum_per_worker == 0;
}

NearOutlook OutlookOf(Fleet& fleet, const Job& job, std::size_t step_run_index,
                      const IndexedPool& pool, TimePoint now) {
  const std::size_t index = step_run_index % job.StepCount();
  const StepPlan& step = job.m_plan.m_steps[index];
  NearOutlook outlook;
  outlook.m_rooms = ExpectedRooms(fleet, pool, step, now);
  const auto& tasks = fleet.m_near_waits.m_tasks_by_rack;
  const auto ahead =
      tasks.find({QueueSettingsOf(fleet, job).m_pool, step.m_data_rack});
  if (ahead != tasks.end()) outlook.m_ahead = ahead->second;
  const Duration near =
      ExpectedRunTime(fleet.m_run_times, job.m_plan.m_queue.m_id, step)
          .m_expected;
  outlook.m_gain = Scaled(near, fleet.m_limits.m_remote_slowdown - 1.0);
  outlook.m_longest = kLongestWait;
  // A job that meets its objective if it starts elsewhere now must still meet
  // it if the wait is in vain.
  const Duration path = job.m_graph.m_remaining_paths[index] - step.m_estimate +
                        near + outlook.m_gain;
  const auto occurrence =
      static_cast<std::uint32_t>(step_run_index / job.StepCount());
  const Duration slack = DueOf(fleet, job, occurrence) - now - path;
  if (slack >= Duration{}) {
    outlook.m_longest = std::min(outlook.m_longest, slack);
  }
  return outlook;
}

bool AllWaitForNearPlace(Fleet& fleet, const Job& job,
                         std::size_t step_run_index, const IndexedPool& pool,
                         TimePoint now) {
  if (fleet.m_near_waits.m_by_step_run.empty()) return false;
  const StepRunKey key{job.m_plan.m_key, step_run_index};
  const std::size_t waits = WaitsOf(fleet, key);
  if (waits == 0) return false;
  const StepPlan& step = job.m_plan.m_steps[step_run_index % job.StepCount()];
  const auto near = pool.m_by_label.find(step.m_data_rack);
  if (near == pool.m_by_label.end()) {
    EndWaits(fleet, key, waits, "near_wait_rack_left", WorkerId(), now);
    return false;
  }
  if (StepRunAt(job, step_run_index).m_waiting > waits) return false;
  return std::none_of(
      near->second.begin(), near->second.end(),
      [&](const Worker* worker) { return HasRoom(*worker, step, now); });
}

bool WaitsForNearPlace(Fleet& fleet, Job& job, std::size_t step_run_index,
                       const Task& task, const IndexedPool& pool,
                       const Worker& chosen, TimePoint now) {
  if (task.m_run != RunNumber()) return false;
  const StepPlan& step = job.m_plan.m_steps[step_run_index % job.StepCount()];
  if (!MayWaitForNearPlace(fleet, step)) return false;
  if (HasLabel(chosen, step.m_data_rack)) return false;
  StepRun& step_run = StepRunAt(job, step_run_index);
  if (!step_run.m_has_decided_near_waits) {
    step_run.m_has_decided_near_waits = true;
    BeginWaits(fleet, job, step_run_index, pool, chosen, now);
  }
  return step_run.m_waiting <=
         WaitsOf(fleet, {job.m_plan.m_key, step_run_index});
}

void RecordNearStart(Fleet& fleet, const Job& job, std::size_t step_run_index,
                     const Worker& worker, TimePoint now) {
  if (fleet.m_near_waits.m_by_step_run.empty()) return;
  const StepRunKey key{job.m_plan.m_key, step_run_index};
  const auto& waits = fleet.m_near_waits.m_by_step_run;
  const auto wait = waits.find(key);
  if (wait == waits.end()) return;
  if (!HasLabel(worker, wait->second.m_rack.second)) return;
  EndWaits(fleet, key, 1, "near_wait_paid", worker.m_listing.m_worker, now);
}

bool EndNearWaits(Fleet& fleet, TimePoint now) {
  NearWaits& waits = fleet.m_near_waits;
  bool has_ended = false;
  while (!waits.m_timers.empty() && waits.m_timers.begin()->first <= now) {
    const StepRunKey key = waits.m_timers.begin()->second;
    const std::vector<TimePoint>& ends = waits.m_by_step_run.at(key).m_ends;
    const auto count =
        std::upper_bound(ends.begin(), ends.end(), now) - ends.begin();
    EndWaits(fleet, key, static_cast<std::size_t>(count), "near_wait_given_up",
             WorkerId(), now);
    has_ended = true;
  }
  return has_ended;
}

}  // namespace daisyarch::fleet
