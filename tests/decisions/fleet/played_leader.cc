#include "decisions/fleet/played_leader.h"

#include <algorithm>

#include "decisions/fleet/occurrences.h"

namespace daisyarch::fleet {

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

const Resources kCapacity{Millicores(64000), Mebibytes(64000), Accelerators(0)};
// An order takes effect 13.7 s late at most, clocks may differ by 10 s, and a
// run takes less than a second.
constexpr Duration kLongestPlay = seconds(60);
constexpr Duration kFaultsLast = seconds(15);
// Within the time for which a new leader waits for the runs of earlier ones.
constexpr Duration kLatestFirstAnswer = seconds(6);
constexpr Duration kLongestTerm = seconds(8);
constexpr Duration kLongestUnwritable = seconds(4);
constexpr Duration kShortestStep = milliseconds(20);
constexpr Duration kLongestStep = milliseconds(120);
constexpr Duration kLongestRun = milliseconds(900);
constexpr Duration kLongestGangStart = seconds(2);
constexpr double kFailureProbability = 0.25;

bool Chance(PlayedLeader& play, double probability) {
  return NextUnit(play.m_random) < probability;
}

Duration DelayBetween(PlayedLeader& play, Duration shortest, Duration longest) {
  const auto range = static_cast<std::uint64_t>((longest - shortest).count());
  return shortest + Duration(static_cast<Duration::rep>(
                        NextBelow(play.m_random, range + 1)));
}

std::string NameOfTask(const TaskReference& task) {
  return task.m_job.value() + "." + std::to_string(task.m_index);
}

void AddEvent(PlayedLeader& play, const std::string& event,
              const TaskReference& task, RunNumber run,
              const WorkerId& worker) {
  const Duration since_start = play.m_fixture.m_now.time_since_epoch();
  play.m_events += "\n  " + std::to_string(ToMilliseconds(since_start)) + " " +
                   NameOfTask(task) + " run " + std::to_string(run.value()) +
                   " " + event + " at " + worker.value();
}

void Break(PlayedLeader& play, const std::string& rule,
           const TaskReference& task) {
  if (play.m_violation.empty())
    play.m_violation = rule + ": " + NameOfTask(task);
}

std::size_t CountBefore(const TaskFacts& facts, std::uint64_t event) {
  return static_cast<std::size_t>(std::count_if(
      facts.m_noted_failed.begin(), facts.m_noted_failed.end(),
      [&](RunNumber run) { return facts.m_failed.at(run) < event; }));
}

// A start breaks these rules whether the ends before it are noted then or
// later.
void CheckStarts(PlayedLeader& play, const TaskReference& task) {
  const TaskFacts& facts = play.m_facts.at(task);
  if (!facts.m_is_finite) return;
  for (const RunNumber run : facts.m_noted_done) {
    if (facts.m_done.at(run) < facts.m_last_start) {
      Break(play, "started after a run was done", task);
    }
  }
  if (CountBefore(facts, facts.m_last_start) >= play.m_attempts) {
    Break(play, "started beyond its attempts", task);
  }
}

void RecordStart(PlayedLeader& play, const FleetWorkerModel& started,
                 const TaskReference& task, RunNumber run) {
  AddEvent(play, "started", task, run, started.m_listing.m_worker);
  play.m_facts.at(task).m_last_start = ++play.m_last_event;
  CheckStarts(play, task);
  for (auto& [id, worker] : play.m_workers) {
    if (&worker == &started) continue;
    Advance(worker, play.m_fixture.m_now);
    if (worker.m_running.count(task) > 0) Break(play, "runs twice", task);
  }
}

void RecordEnd(PlayedLeader& play, const EndedRun& end) {
  TaskFacts& facts = play.m_facts.at(end.m_task);
  const std::uint64_t event = ++play.m_last_event;
  if (end.m_outcome == RunOutcome::kDone) facts.m_done[end.m_run] = event;
  if (end.m_outcome == RunOutcome::kFailed) facts.m_failed[end.m_run] = event;
}

// Checks what a third leader would make of what is stored.
void CheckNextLeader(PlayedLeader& play, const EndedRun& end) {
  const StoredJob& stored = play.m_stored.at(end.m_task.m_job);
  if (stored.m_has_ended || stored.m_state == JobState::kFailed) return;
  JobProgress progress;
  progress.m_state = stored.m_state;
  for (const auto& entry : stored.m_rows) {
    progress.m_tasks.push_back(entry.second);
  }
  Fleet next;
  next.m_state_machines = &play.m_fixture.m_state_machines;
  next.m_term = Term(3);
  next.m_queues = play.m_fixture.m_fleet.m_queues;
  AddJob(next, play.m_past.at(end.m_task.m_job).m_plan, progress,
         play.m_fixture.m_now);
  const Job& job = *FindJob(next, end.m_task.m_job);
  const Task& task =
      TaskAt(job, StepRunIndex(job, end.m_task.m_occurrence, end.m_task.m_step),
             end.m_task.m_index);
  if (task.m_state == RunState::kDone) return;
  const auto& failed = task.m_failed_runs;
  const bool is_known =
      end.m_outcome == RunOutcome::kFailed &&
      std::find(failed.begin(), failed.end(), end.m_run) != failed.end();
  if (!is_known) {
    Break(play, "the next leader does not know an end that is noted",
          end.m_task);
  }
}

void RecordNoted(PlayedLeader& play, const EndedRun& end) {
  TaskFacts& facts = play.m_facts.at(end.m_task);
  if (end.m_outcome == RunOutcome::kDone) {
    facts.m_noted_done.insert(end.m_run);
  } else if (end.m_outcome == RunOutcome::kFailed) {
    facts.m_noted_failed.insert(end.m_run);
  } else {
    return;
  }
  CheckStarts(play, end.m_task);
  if (facts.m_is_finite) CheckNextLeader(play, end);
}

GangRun DrawRun(PlayedLeader& play) {
  GangRun run;
  run.m_ends_at =
      play.m_fixture.m_now + DelayBetween(play, milliseconds(20), kLongestRun);
  run.m_outcome = Chance(play, kFailureProbability) ? RunOutcome::kFailed
                                                    : RunOutcome::kDone;
  return run;
}

bool IsGang(const PlayedLeader& play, const JobKey& job) {
  return play.m_past.at(job).m_plan.m_steps.front().m_is_gang;
}

// One member of a gang fails, which breaks the others.
ModelRun PlanRun(PlayedLeader& play, const TaskReference& task,
                 RunNumber number) {
  ModelRun run;
  run.m_ends_at = TimePoint::max();
  if (!play.m_facts.at(task).m_is_finite) return run;
  GangRun drawn = DrawRun(play);
  if (IsGang(play, task.m_job)) {
    drawn.m_ends_at += kLongestGangStart;
    drawn =
        play.m_gang_runs.try_emplace({task.m_job, number}, drawn).first->second;
    const bool is_broken =
        task.m_index > 0 && drawn.m_outcome == RunOutcome::kFailed;
    if (is_broken) drawn.m_outcome = RunOutcome::kBroken;
  }
  run.m_ends_at = drawn.m_ends_at;
  run.m_outcome = drawn.m_outcome;
  return run;
}

// A member of a gang that ends without being done breaks the others.
void BreakGang(PlayedLeader& play, const EndedRun& end) {
  if (!IsGang(play, end.m_task.m_job)) return;
  if (end.m_outcome == RunOutcome::kDone) return;
  for (auto& entry : play.m_workers) {
    for (auto& [task, run] : entry.second.m_running) {
      const bool is_member =
          task.m_job == end.m_task.m_job && run.m_run == end.m_run;
      if (!is_member || run.m_outcome == RunOutcome::kFailed) continue;
      run.m_ends_at = play.m_fixture.m_now;
      run.m_outcome = RunOutcome::kBroken;
    }
  }
}

void AddWorkers(PlayedLeader& play) {
  for (std::uint64_t number = 0; number < kPastWorkers; ++number) {
    const WorkerId id = PastWorker(number);
    FleetWorkerModel& model = play.m_workers[id];
    model.m_listing.m_worker = id;
    model.m_listing.m_address = id.value();
    model.m_listing.m_incarnation = Incarnation(1);
    model.m_listing.m_pool = PoolId("pool");
    model.m_listing.m_capacity = kCapacity;
    model.m_process_started_at =
        play.m_fixture.m_now - FromMilliseconds(kTakeoverClockMs);
    // An earlier leader extended the lease up to its end.
    model.m_lease_until =
        ClockOf(model, play.m_fixture.m_now +
                           DelayBetween(play, seconds(1), seconds(4)));
    model.m_plan_run = [&play](const TaskReference& task, RunNumber run) {
      return PlanRun(play, task, run);
    };
    model.m_on_start = [&play, &model](const TaskReference& task,
                                       RunNumber run) {
      RecordStart(play, model, task, run);
    };
    model.m_on_end = [&play, &model](const EndedRun& end) {
      AddEvent(play,
               std::string("ended ") +
                   std::to_string(static_cast<int>(end.m_outcome)),
               end.m_task, end.m_run, model.m_listing.m_worker);
      RecordEnd(play, end);
      BreakGang(play, end);
    };
    model.m_on_acknowledged = [&play, &model](const EndedRun& end) {
      AddEvent(play, "noted", end.m_task, end.m_run, model.m_listing.m_worker);
      RecordNoted(play, end);
    };
  }
}

RunOutcome OutcomeOf(PastEnd end) {
  switch (end) {
    case PastEnd::kDone:
      return RunOutcome::kDone;
    case PastEnd::kFailed:
      return RunOutcome::kFailed;
    case PastEnd::kLapsed:
      return RunOutcome::kLapsed;
    case PastEnd::kBroken:
      return RunOutcome::kBroken;
    default:
      return RunOutcome::kStopped;
  }
}

void LeaveAtWorker(PlayedLeader& play, const TaskReference& task,
                   const PastRun& past, RunNumber number) {
  FleetWorkerModel& model = play.m_workers.at(past.m_worker);
  if (past.m_end == PastEnd::kNeverBegan) return;
  play.m_facts.at(task).m_last_start = ++play.m_last_event;
  if (past.m_end == PastEnd::kActive) {
    ModelRun run = PlanRun(play, task, number);
    run.m_run = number;
    model.m_running[task] = run;
    return;
  }
  EndedRun end;
  end.m_number = OutcomeNumber(++model.m_last_outcome_number);
  end.m_task = task;
  end.m_run = number;
  end.m_outcome = OutcomeOf(past.m_end);
  model.m_ended.push_back(end);
  RunNumber& closed = model.m_closed_runs[task];
  closed = std::max(closed, number);
  if (past.m_end == PastEnd::kLapsed) {
    model.m_last_end_before_lapse = end.m_number;
  }
  RecordEnd(play, end);
}

// Lets the past runs happen: those of one task, or of all members of a gang, in
// their order, and those of different tasks in a drawn one.
void LeaveAtWorkers(PlayedLeader& play, const std::vector<PastJob>& past) {
  struct Sequence {
    std::vector<const PastTask*> m_tasks;
    std::size_t m_next = 0;
  };
  std::vector<Sequence> sequences;
  for (const PastJob& job : past) {
    const bool is_gang = job.m_plan.m_steps.front().m_is_gang;
    for (const PastTask& task : job.m_tasks) {
      if (!is_gang || task.m_task.m_index == 0) sequences.emplace_back();
      sequences.back().m_tasks.push_back(&task);
    }
  }
  while (!sequences.empty()) {
    const std::size_t chosen = NextBelow(play.m_random, sequences.size());
    Sequence& sequence = sequences[chosen];
    if (sequence.m_next == sequence.m_tasks.front()->m_runs.size()) {
      sequences.erase(sequences.begin() + static_cast<std::ptrdiff_t>(chosen));
      continue;
    }
    const std::size_t index = sequence.m_next++;
    for (const PastTask* task : sequence.m_tasks) {
      LeaveAtWorker(play, task->m_task, task->m_runs[index],
                    RunNumber(index + 1));
    }
  }
}

// Returns whether the end may have been acknowledged by the earlier leader,
// which had stored it then.
bool MayBeNoted(const PlayedLeader& play, const EndedRun& end) {
  const PastJob& job = play.m_past.at(end.m_task.m_job);
  const auto& row = job.m_tasks[end.m_task.m_index].m_row;
  if (!row || row->m_run < end.m_run) return false;
  if (!play.m_facts.at(end.m_task).m_is_finite) return true;
  if (end.m_outcome == RunOutcome::kDone) return row->m_is_done;
  if (end.m_outcome != RunOutcome::kFailed) return true;
  const auto& failed = row->m_failed_runs;
  return std::find(failed.begin(), failed.end(), end.m_run) != failed.end();
}

// The earlier leader had acknowledged some of the ends that it had stored.
void ForgetNoted(PlayedLeader& play) {
  for (auto& [id, model] : play.m_workers) {
    const auto kept = std::find_if_not(
        model.m_ended.begin(), model.m_ended.end(),
        [&play](const EndedRun& end) { return MayBeNoted(play, end); });
    const auto most = static_cast<std::uint64_t>(kept - model.m_ended.begin());
    const auto noted =
        static_cast<std::ptrdiff_t>(NextBelow(play.m_random, most + 1));
    const std::vector<EndedRun> ends(model.m_ended.begin(),
                                     model.m_ended.begin() + noted);
    model.m_ended.erase(model.m_ended.begin(), model.m_ended.begin() + noted);
    for (const EndedRun& end : ends) {
      if (end.m_number <= model.m_last_end_before_lapse) continue;
      RecordNoted(play, end);
    }
  }
}

StoredJob StoredStateOf(PlayedLeader& play, const PastJob& job) {
  StoredJob stored;
  const bool is_finite = job.m_plan.m_steps.front().m_kind == StepKind::kFinite;
  for (const PastTask& task : job.m_tasks) {
    if (!task.m_row) continue;
    stored.m_rows[task.m_task.m_index] = *task.m_row;
    const bool has_failed =
        is_finite && task.m_row->m_failed_runs.size() >= play.m_attempts;
    // Its part may have been stored before the one with the job's state.
    if (has_failed && Chance(play, 0.5)) stored.m_state = JobState::kFailed;
    if (stored.m_state == JobState::kQueued)
      stored.m_state = JobState::kRunning;
  }
  return stored;
}

void LoadJobs(PlayedLeader& play) {
  Fleet& fleet = play.m_fixture.m_fleet;
  for (const auto& [key, job] : play.m_past) {
    const StoredJob& stored = play.m_stored.at(key);
    if (stored.m_has_ended) {
      fleet.m_ended_jobs[key] = kTakeoverUnixMs;
      continue;
    }
    JobProgress progress;
    progress.m_state = stored.m_state;
    for (const auto& entry : stored.m_rows) {
      progress.m_tasks.push_back(entry.second);
    }
    AddJob(fleet, job.m_plan, progress, play.m_fixture.m_now);
    MarkInherited(fleet, *FindJob(fleet, key));
  }
}

void LoadWorkers(PlayedLeader& play) {
  Fleet& fleet = play.m_fixture.m_fleet;
  std::vector<ListedWorker> listing;
  for (const auto& [id, model] : play.m_workers) {
    ApplyRosterLoaded(fleet, {id, model.m_listing.m_address},
                      play.m_fixture.m_now + fleet.m_limits.m_inherited_lease);
    listing.push_back(model.m_listing);
  }
  ApplyListing(fleet, listing, play.m_fixture.m_now, play.m_fixture.m_now);
}

std::int64_t UnixMs(const PlayedLeader& play) {
  return kTakeoverUnixMs +
         ToMilliseconds(play.m_fixture.m_now - play.m_begun_at);
}

void TakeOrders(PlayedLeader& play) {
  Fleet& fleet = play.m_fixture.m_fleet;
  const std::vector<Order> orders = std::move(fleet.m_orders);
  fleet.m_orders.clear();
  for (const Order& order : orders) {
    if (const auto* poll = std::get_if<PollOrder>(&order)) {
      play.m_polls[poll->m_worker] = *poll;
    } else if (const auto* start = std::get_if<StartOrder>(&order)) {
      play.m_starts.push_back(*start);
    } else if (const auto* stop = std::get_if<StopOrder>(&order)) {
      FleetWorkerModel& model = play.m_workers.at(stop->m_worker);
      const bool is_lost = Chance(play, play.m_faults.m_lost_order_probability);
      if (!is_lost) (void)Receive(model, *stop, play.m_fixture.m_now);
      if (is_lost) ApplyOrderFailure(fleet, stop->m_worker, stop->m_token);
    }
  }
}

// Answers one of the starts; the order of the answers is drawn.
void AnswerStart(PlayedLeader& play) {
  if (play.m_starts.empty()) return;
  const std::size_t chosen = NextBelow(play.m_random, play.m_starts.size());
  const StartOrder start = play.m_starts[chosen];
  play.m_starts.erase(play.m_starts.begin() +
                      static_cast<std::ptrdiff_t>(chosen));
  StartOutcome outcome = StartOutcome::kUnanswered;
  if (!Chance(play, play.m_faults.m_lost_order_probability)) {
    outcome =
        Receive(play.m_workers.at(start.m_worker), start, play.m_fixture.m_now);
  }
  if (Chance(play, play.m_faults.m_lost_answer_probability)) {
    outcome = StartOutcome::kUnanswered;
  }
  ApplyStartOutcome(play.m_fixture.m_fleet, start, outcome,
                    play.m_fixture.m_now);
}

void AnswerPoll(PlayedLeader& play, const PollOrder& poll) {
  Fleet& fleet = play.m_fixture.m_fleet;
  const TimePoint now = play.m_fixture.m_now;
  if (Chance(play, play.m_faults.m_lost_order_probability)) {
    return ApplyPollFailure(fleet, poll.m_worker, poll.m_poll_number,
                            PollFailure::kUnanswered, now);
  }
  const Result<WorkerReport> report =
      Receive(play.m_workers.at(poll.m_worker), poll, now);
  if (!report || Chance(play, play.m_faults.m_lost_answer_probability)) {
    return ApplyPollFailure(fleet, poll.m_worker, poll.m_poll_number,
                            PollFailure::kUnanswered, now);
  }
  ApplyReport(fleet, poll.m_worker, poll.m_poll_number, poll.m_token,
              report.assume_value(), now);
}

// Answers some of the polls, in a drawn order.
void AnswerPolls(PlayedLeader& play) {
  std::vector<PollOrder> due;
  for (const auto& [id, poll] : play.m_polls) {
    if (play.m_first_answers.at(id) > play.m_fixture.m_now) continue;
    if (Chance(play, 0.5)) due.push_back(poll);
  }
  while (!due.empty()) {
    const std::size_t chosen = NextBelow(play.m_random, due.size());
    const PollOrder poll = due[chosen];
    due.erase(due.begin() + static_cast<std::ptrdiff_t>(chosen));
    play.m_polls.erase(poll.m_worker);
    AnswerPoll(play, poll);
  }
}

void Merge(PlayedLeader& play, const JobChange& change) {
  StoredJob& stored = play.m_stored.at(change.m_key);
  stored.m_has_ended = stored.m_has_ended || change.m_has_ended;
  if (change.m_part == ProgressPart()) {
    stored.m_state = change.m_progress.m_state;
  }
  for (const TaskProgress& row : change.m_progress.m_tasks) {
    stored.m_rows[row.m_index] = row;
  }
}

// Begins a write of what has changed, and ends the one that is due.
void Store(PlayedLeader& play) {
  Fleet& fleet = play.m_fixture.m_fleet;
  if (play.m_fixture.m_now >= play.m_unwritable_from) return;
  if (play.m_batch && play.m_batch_stored_at <= play.m_fixture.m_now) {
    for (const JobChange& change : play.m_batch->m_changes) {
      Merge(play, change);
      if (change.m_has_ended) fleet.m_ended_jobs[change.m_key] = UnixMs(play);
    }
    ApplyStoredBatch(fleet, *play.m_batch);
    play.m_batch.reset();
  }
  const bool has_changes = !fleet.m_changed_jobs.empty() ||
                           !fleet.m_worker_index.m_unstored_ends.empty();
  if (play.m_batch || !has_changes) return;
  play.m_batch = TakeChanges(fleet);
  play.m_batch_stored_at =
      play.m_fixture.m_now +
      DelayBetween(play, Duration{}, play.m_faults.m_longest_write);
}

void ScheduleNextLeader(PlayedLeader& play) {
  play.m_next_leader_at = play.m_unwritable_from = TimePoint::max();
  if (play.m_leaders_left == 0) return;
  --play.m_leaders_left;
  play.m_next_leader_at =
      play.m_fixture.m_now + DelayBetween(play, seconds(1), kLongestTerm);
  play.m_unwritable_from = play.m_next_leader_at -
                           DelayBetween(play, Duration{}, kLongestUnwritable);
}

// The leader ends. The write in progress takes effect or does not, and so do
// its orders, as long as their workers have seen no token of the next leader.
void ChangeLeader(PlayedLeader& play) {
  if (play.m_batch && Chance(play, 0.5)) {
    for (const JobChange& change : play.m_batch->m_changes) Merge(play, change);
  }
  play.m_batch.reset();
  play.m_polls.clear();
  Fleet next;
  const Fleet& last = play.m_fixture.m_fleet;
  next.m_state_machines = last.m_state_machines;
  next.m_limits = last.m_limits;
  next.m_queues = last.m_queues;
  next.m_term = Next(last.m_term);
  play.m_fixture.m_fleet = std::move(next);
  SetTime(play.m_fixture.m_fleet, play.m_fixture.m_now, UnixMs(play));
  play.m_events += "\n  the leader changes";
  LoadJobs(play);
  LoadWorkers(play);
  DrawFirstAnswers(play);
  ScheduleNextLeader(play);
}

void PlayStep(PlayedLeader& play) {
  play.m_fixture.m_now += DelayBetween(play, kShortestStep, kLongestStep);
  if (play.m_fixture.m_now >= play.m_next_leader_at) ChangeLeader(play);
  if (play.m_fixture.m_now > play.m_begun_at + kFaultsLast) {
    play.m_faults.m_lost_answer_probability = 0;
    play.m_faults.m_lost_order_probability = 0;
  }
  Fleet& fleet = play.m_fixture.m_fleet;
  for (auto& entry : play.m_workers)
    Advance(entry.second, play.m_fixture.m_now);
  fleet.m_jobs_known_at = play.m_fixture.m_now;
  TickFleet(fleet, play.m_fixture.m_now, UnixMs(play));
  ApplyRosterStored(fleet, MissingFromRoster(fleet));
  Store(play);
  if (fleet.m_needs_placement) PlaceRuns(fleet, play.m_fixture.m_now);
  TakeOrders(play);
  AnswerPolls(play);
  AnswerStart(play);
  TakeOrders(play);
  fleet.m_events.clear();
}

bool IsActive(const PlayedLeader& play, const TaskReference& task) {
  return std::any_of(play.m_workers.begin(), play.m_workers.end(),
                     [&task](const auto& entry) {
                       return entry.second.m_running.count(task) > 0;
                     });
}

// Returns what is still to come for the job, or "".
std::string FindUnfinished(const PlayedLeader& play, const PastJob& job) {
  const bool has_ended = play.m_stored.at(job.m_plan.m_key).m_has_ended;
  for (const PastTask& task : job.m_tasks) {
    if (play.m_facts.at(task.m_task).m_is_finite) {
      if (!has_ended) return "did not end: " + NameOfTask(task.m_task);
    } else if (!IsActive(play, task.m_task)) {
      return "does not run: " + NameOfTask(task.m_task);
    }
  }
  return "";
}

std::string FindUnfinished(const PlayedLeader& play) {
  if (play.m_next_leader_at != TimePoint::max()) return "no leader stays";
  for (const auto& entry : play.m_past) {
    std::string unfinished = FindUnfinished(play, entry.second);
    if (!unfinished.empty()) return unfinished;
  }
  for (const auto& [id, model] : play.m_workers) {
    if (!model.m_ended.empty()) return "ends are not noted at " + id.value();
  }
  return "";
}

// Returns the failed runs of the task, or of all members of its gang, that may
// count as its attempts.
std::size_t CountFailures(const PlayedLeader& play, const PastJob& job,
                          const PastTask& task) {
  std::set<RunNumber> failed;
  for (const PastTask& member : job.m_tasks) {
    const bool counts =
        job.m_plan.m_steps.front().m_is_gang || &member == &task;
    if (!counts) continue;
    for (const auto& entry : play.m_facts.at(member.m_task).m_failed) {
      failed.insert(entry.first);
    }
  }
  return failed.size();
}

// Checks that the job has the state that follows from its tasks' ends, in
// whatever order they were reported.
std::string FindWrongState(const PlayedLeader& play, const PastJob& job) {
  bool is_done = true;
  bool has_cause = false;
  bool has_to_fail = false;
  for (const PastTask& task : job.m_tasks) {
    const TaskFacts& facts = play.m_facts.at(task.m_task);
    if (!facts.m_is_finite) return "";
    is_done = is_done && !facts.m_done.empty();
    if (CountFailures(play, job, task) >= play.m_attempts) has_cause = true;
    const bool is_over = facts.m_noted_failed.size() >= play.m_attempts;
    has_to_fail = has_to_fail || (is_over && facts.m_done.empty());
  }
  const bool has_completed =
      play.m_stored.at(job.m_plan.m_key).m_state == JobState::kCompleted;
  const std::string name = job.m_plan.m_key.value();
  if (!has_completed && !has_cause) return "failed without cause: " + name;
  if (has_completed && has_to_fail) return "completed, but failed: " + name;
  const bool is_gang = job.m_plan.m_steps.front().m_is_gang;
  if (has_completed && !is_gang && !is_done) {
    return "completed, but not all done: " + name;
  }
  return "";
}

std::string Explain(const PlayedLeader& play, const std::string& what) {
  std::string text = what;
  for (const auto& entry : play.m_past) text += "\n  " + Describe(entry.second);
  return text + play.m_events;
}

}  // namespace

void TakeOver(PlayedLeader& play, const std::vector<PastJob>& past) {
  FleetFixture& fixture = play.m_fixture;
  fixture.m_fleet.m_queues.begin()->second.m_maximum_attempts = play.m_attempts;
  SetTime(fixture.m_fleet, fixture.m_now, kTakeoverUnixMs);
  for (const PastJob& job : past) {
    play.m_past[job.m_plan.m_key] = job;
    play.m_stored[job.m_plan.m_key] = StoredStateOf(play, job);
    for (const PastTask& task : job.m_tasks) {
      play.m_facts[task.m_task].m_is_finite =
          job.m_plan.m_steps.front().m_kind == StepKind::kFinite;
    }
  }
  AddWorkers(play);
  LeaveAtWorkers(play, past);
  ForgetNoted(play);
  LoadJobs(play);
  LoadWorkers(play);
  DrawFirstAnswers(play);
  play.m_leaders_left = play.m_faults.m_later_leaders;
  ScheduleNextLeader(play);
}

void DrawFirstAnswers(PlayedLeader& play) {
  const Duration latest = DelayBetween(play, Duration{}, kLatestFirstAnswer);
  for (const auto& entry : play.m_workers) {
    play.m_first_answers[entry.first] =
        play.m_fixture.m_now + DelayBetween(play, Duration{}, latest);
  }
}

std::string PlayToEnd(PlayedLeader& play) {
  const TimePoint end = play.m_fixture.m_now + kLongestPlay;
  std::string unfinished = "not begun";
  while (play.m_violation.empty() && !unfinished.empty()) {
    if (play.m_fixture.m_now > end) return Explain(play, unfinished);
    PlayStep(play);
    unfinished = FindUnfinished(play);
  }
  if (!play.m_violation.empty()) return Explain(play, play.m_violation);
  for (const auto& entry : play.m_past) {
    const std::string wrong = FindWrongState(play, entry.second);
    if (!wrong.empty()) return Explain(play, wrong);
  }
  return "";
}

}  // namespace daisyarch::fleet
