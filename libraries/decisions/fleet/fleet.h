#pragma once

#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <tuple>
#include <unordered_map>
#include <variant>
#include <vector>

#include "base/result.h"
#include "chart/state_machine.h"
#include "decisions/fleet/evacuation.h"
#include "decisions/fleet/fleet_job.h"
#include "decisions/fleet/fleet_worker.h"
#include "decisions/fleet/job_progress.h"
#include "decisions/fleet/near_waits.h"
#include "decisions/fleet/relay_link.h"
#include "decisions/fleet/run_times.h"
#include "decisions/fleet/waiting_steps.h"
#include "decisions/fleet/worker_late_starts.h"

namespace daisyarch::fleet {

/// Limits that the platform sets for its workers.
struct FleetLimits {
  /// Duration of each lease that the leader grants; well under the workers'
  /// own maximum.
  Duration m_lease = std::chrono::seconds(4);
  /// Maximum lease duration; the workers shorten longer leases to it.
  Duration m_longest_lease = std::chrono::seconds(10);
  /// Maximum time from when an unanswered order leaves until it takes effect.
  Duration m_longest_order_delay = std::chrono::seconds(12);
  /// How long a worker may hold back its answer to a poll until a run ends.
  Duration m_poll_wait = std::chrono::milliseconds(1000);
  /// How long after a takeover a worker may still run tasks that an earlier
  /// leader started, since that leader may be cut off from the store and still
  /// extend leases.
  Duration m_inherited_lease = std::chrono::milliseconds(8500);
  /// How long the tail latency of a serving task may exceed its target.
  Duration m_maximum_target_overrun = std::chrono::milliseconds(4000);
  double m_remote_slowdown = 1.5;  ///< Slowdown of a task outside its rack.
  /// No task is placed from a worker listing that was requested longer ago,
  /// since a worker may have announced since then that it is leaving.
  Duration m_maximum_listing_age = std::chrono::milliseconds(1700);
  /// Tasks that one placement pass starts at most, except that a gang starts as
  /// a whole, and polls that one call of TickFleet sends at most. Between
  /// passes the loop handles other events, such as the renewal of the claim.
  /// The former is adapted to the load; see load_control.h.
  std::size_t m_starts_per_pass = 32;
  std::size_t m_polls_per_pass = 64;
};

/// Starts one run of a task on a worker.
struct StartOrder {
  WorkerId m_worker;
  Incarnation m_incarnation;
  TaskReference m_task;
  RunNumber m_run;
  FencingToken m_token;
  WorkerMilliseconds m_lease_until;
  std::string m_payload;
  std::string m_checkpoint;
  TimePoint m_sent_at{};     ///< See Task::m_start_sent_at.
  bool m_is_resent = false;  ///< An earlier order may start the same run.
};

/// Stops one run of a task.
struct StopOrder {
  WorkerId m_worker;
  Incarnation m_incarnation;
  TaskReference m_task;
  RunNumber m_run;
  FencingToken m_token;
};

/// Limits the processor time of a best-effort task.
struct ThrottleOrder {
  WorkerId m_worker;
  Incarnation m_incarnation;
  TaskReference m_task;
  RunNumber m_run;
  FencingToken m_token;
  std::uint8_t m_percent = 100;  ///< 100: unlimited; 0: paused.
};

/// Requests a worker's active and ended runs, and extends its lease.
struct PollOrder {
  WorkerId m_worker;
  std::uint64_t m_poll_number = 0;
  FencingToken m_token;
  OutcomeNumber m_acknowledged;
  bool m_has_lease = false;
  WorkerMilliseconds m_lease_until;
  Duration m_wait{};
};

using Order = std::variant<StartOrder, StopOrder, ThrottleOrder, PollOrder>;

/// Result of a start order.
enum class StartOutcome {
  kStarted,
  kRefused,     ///< The task certainly does not run.
  kUnanswered,  ///< The task may run, now or later.
};

/// How a poll of a worker failed.
enum class PollFailure {
  kUnanswered,  ///< No response, or an error from the worker.
  kClosed,      ///< Its host refused or closed the connection.
  kFenced,      ///< An order of this leader with a higher token came first.
};

/// What the end of a run that is not its task's present one has changed.
enum class EndEffect : std::uint8_t {
  kNone,
  kCounted,    ///< A failed attempt more.
  kCompleted,  ///< The task is done.
};

/// The end of a run that is not its task's present one.
struct SupersededEnd {
  RunOutcome m_outcome = RunOutcome::kStopped;
  RunState m_task_state = RunState::kWaiting;  ///< Before the end was applied.
  RunNumber m_task_run;                        ///< The task's present run.
  EndEffect m_effect = EndEffect::kNone;
};

/// An event that is logged and counted for operators.
struct FleetEvent {
  const char* m_name;  ///< Name of the event in the log and the metrics.
  JobKey m_job;        ///< Empty for an event of a worker alone.
  WorkerId m_worker;
  RunNumber m_run;
  /// Age of the job at its start, duration of the failed run, or time from
  /// the worker's last report to the latest poll.
  Duration m_age{};
  std::optional<TaskReference> m_task;  ///< Of an event of one task.
  std::optional<SupersededEnd> m_end;   ///< Of such an end.
  /// Of the start of a task: its run as the leader knew it; 0: none.
  std::optional<RunNumber> m_known_run;
  std::optional<NearWaitEvent> m_near_wait;
};

/// The worker that a task waits for or runs on in isolation.
struct Isolation {
  WorkerId m_worker;  ///< Empty while no worker is held for the task.
  TimePoint m_since{};
};

/// A worker's process has crashed.
struct WorkerCrash {
  TimePoint m_at{};
  WorkerId m_worker;
  /// A run that was active there may have caused it.
  bool m_has_suspect = false;
};

/// What the fleet's functions have looked at since the leader began. Their cost
/// grows with these counts, and not with the number of workers or of waiting
/// tasks.
struct WorkCounters {
  std::uint64_t m_workers = 0;
  std::uint64_t m_waiting_steps = 0;
  std::uint64_t m_jobs = 0;
  std::uint64_t m_step_runs = 0;  ///< When ranking and releasing.
  /// Jobs that were looked up by their key. An event's grow with the runs that
  /// it lists.
  std::uint64_t m_job_lookups = 0;
};

/// A block of a job's tasks, all of which are done.
struct DoneBlock {
  JobKey m_job;
  std::size_t m_step_run_index = 0;
  TaskBlock m_block;
};

/// A run's task and its job, looked up once for one event.
struct FoundRun {
  const TaskReference* m_reference = nullptr;  ///< Of the event or the worker.
  Job* m_job = nullptr;                        ///< nullptr: unknown.
  Task* m_task = nullptr;                      ///< nullptr: unknown.
};

struct FleetStateMachines;

/// The leader's state of all workers and jobs, and the orders that are waiting
/// to be sent.
struct Fleet {
  const FleetStateMachines* m_state_machines = nullptr;
  FleetLimits m_limits;
  Term m_term;
  /// When this node first saw each term, as far as it has.
  std::map<Term, TimePoint> m_terms_seen_at;
  FencingToken m_last_token;  ///< The highest that a worker was given.
  /// From then on no worker, even one that has not reported yet, runs a task
  /// that an earlier leader started; 0 once that time has passed.
  TimePoint m_inherited_runs_end_at{};
  /// Latest deadline of any lease that this leader grants, so that the next
  /// leader knows when all of them have expired.
  TimePoint m_lease_limit = TimePoint::max();
  std::map<QueueId, Queue> m_queues;
  std::map<WorkerId, Worker> m_workers;
  WorkerNumber m_last_worker_number;
  WorkerIndex m_worker_index;
  /// Entries of the listing that may be older than what their workers have
  /// reported, and are not applied yet.
  std::map<WorkerId, ListedWorker> m_unsettled_entries;
  TimePoint m_listed_at{};  ///< When the latest listing was requested.
  Evacuations m_evacuations;
  std::set<WorkerId> m_roster;  ///< Workers in the stored roster.
  /// Those of them that are not in m_workers.
  std::set<WorkerId> m_unknown_in_roster;
  std::unordered_map<std::string, std::unique_ptr<Job>> m_jobs;
  /// Jobs whose final state is stored, and the Unix time in ms at which each
  /// ended. The stored state is removed some time later.
  std::map<JobKey, std::int64_t> m_ended_jobs;
  /// Every job that was stored before this time is known, or has ended.
  TimePoint m_jobs_known_at{};
  /// Released steps with waiting tasks that reserve processors.
  WaitingSteps m_waiting_reserved;
  /// The same for best-effort tasks, which reserve no processors. Choosing
  /// workers for them is expensive, so they are placed in periodic passes.
  WaitingSteps m_waiting_best_effort;
  TimePoint m_next_best_effort_pass_at{};
  /// Stop orders that were sent, and when each is repeated unless its run has
  /// ended.
  std::multimap<TimePoint, TaskReference> m_stop_repeats;
  std::set<TaskReference> m_resends;  ///< The tasks in RunState::kResending.
  Interference m_interference;
  RunTimeModel m_run_times;
  NearWaits m_near_waits;
  /// The unfinished tasks that need isolation.
  std::map<TaskReference, Isolation> m_isolations;
  /// The latest crashes of workers, the oldest first.
  std::vector<WorkerCrash> m_recent_crashes;
  /// The next occurrence of each timed job, and those that have begun but are
  /// not released: the Unix time in ms, the job and the occurrence.
  std::set<std::tuple<std::int64_t, JobKey, std::uint32_t>>
      m_pending_occurrences;
  /// Step runs of the timed jobs' occurrences that have begun.
  std::size_t m_begun_step_runs = 0;
  /// Blocks of tasks that are done, and when each can be freed.
  std::multimap<TimePoint, DoneBlock> m_done_blocks;
  /// Jobs whose progress has changed since it was last taken for storing.
  std::set<JobKey> m_changed_jobs;
  /// Some of the changed jobs have ended.
  bool m_has_urgent_change = false;
  bool m_is_storing = false;  ///< A batch of changes is being stored.
  bool m_needs_placement = false;
  /// Minimum time from a worker's report to its next poll. On a busy leader,
  /// one report then tells of several ended runs.
  Duration m_poll_spacing{};
  /// The last call of TickFleet ended because it had sent enough polls.
  bool m_has_due_polls = false;
  TimePoint m_next_ranking_at{};
  TimePoint m_ticked_at{};  ///< When SetTime was last called.
  /// Unix time less the loop's, in ms.
  std::int64_t m_unix_offset_ms = 0;
  /// The starts that got no answer and may take effect at the next incarnation
  /// of each worker; see late_start.h.
  std::map<WorkerId, WorkerLateStarts> m_late_starts;
  /// Jobs whose rank may have changed.
  std::set<JobKey> m_unranked_jobs;
  JobKey m_last_ranked_job;
  /// When the ranks of jobs with waiting tasks change by the passage of time.
  std::set<std::pair<TimePoint, JobKey>> m_rank_timers;
  /// See CountPending().
  std::map<QueueId, std::uint64_t> m_pending_counts;
  std::vector<Order> m_orders;
  std::vector<FleetEvent> m_events;
  /// Counted by functions that change nothing else as well.
  mutable WorkCounters m_work;
};

/// Context of the guards and actions of charts/run.yaml.
struct RunContext {
  Fleet& m_fleet;
  Job& m_job;
  TaskReference m_reference;
  StepRun& m_step_run;
  const StepPlan& m_step;
  Task& m_task;
};
using RunStateMachine = StateMachine<RunState, RunEvent, RunContext>;
ChartBinding<RunContext> RunBinding();

/// Context of the actions of charts/fleet_worker.yaml.
struct WorkerContext {
  Fleet& m_fleet;
  Worker& m_worker;
};
using WorkerStateMachine =
    StateMachine<WorkerState, WorkerEvent, WorkerContext>;
ChartBinding<WorkerContext> WorkerBinding();

struct FleetStateMachines {
  RunStateMachine m_run;
  WorkerStateMachine m_worker;
  RelayLinkStateMachine m_relay_link;
};

/// Loads the charts; fails with kInvalidArgument or kNotFound.
Result<FleetStateMachines> LoadFleetStateMachines(const std::string& directory);

/// Returns the first run number of the term; higher than any run number of
/// earlier terms.
RunNumber FirstRun(Term term);

// Events of the fleet. Each function may add to m_orders and m_changed_jobs.

/// Adds a stored job with its stored progress. Does nothing if the job is
/// known already.
void AddJob(Fleet& fleet, JobPlan plan, const JobProgress& progress,
            TimePoint accepted_at);
/// Updates ranks that have changed with the time or with the jobs' remaining
/// critical paths, a limited number per call. Returns whether none is left.
bool RefreshRanks(Fleet& fleet, TimePoint now);
/// Replaces the queues and updates the jobs' objectives, priorities and
/// maximum attempts.
void ApplyQueues(Fleet& fleet, std::map<QueueId, Queue> queues);
/// Records that an earlier leader may have started the job.
void MarkInherited(Fleet& fleet, Job& job);
/// Cancels a job and stops its runs.
void CancelJob(Fleet& fleet, const JobKey& key, TimePoint now);
/// Removes a job whose final state is stored.
void RemoveJob(Fleet& fleet, const JobKey& key);
/// Applies the platform's complete list of workers, read after `asked_at`.
void ApplyListing(Fleet& fleet, const std::vector<ListedWorker>& listing,
                  TimePoint asked_at, TimePoint now);
/// Applies the changes of the list since the last call; `asked_at` is when the
/// platform was asked for them. Called without changes as well, as the list is
/// then known to be as recent.
void ApplyListingChanges(Fleet& fleet, const std::vector<ListedChange>& changes,
                         TimePoint asked_at, TimePoint now);
/// Applies a worker's answer to the poll of this number. Answers to earlier
/// polls are ignored, and so are the runs in answers under an old token.
void ApplyReport(Fleet& fleet, const WorkerId& worker, std::uint64_t poll,
                 FencingToken token, const WorkerReport& report, TimePoint now);
void ApplyPollFailure(Fleet& fleet, const WorkerId& worker, std::uint64_t poll,
                      PollFailure failure, TimePoint now);
void ApplyStartOutcome(Fleet& fleet, const StartOrder& order,
                       StartOutcome outcome, TimePoint now);
/// Records that the worker applies the limit that the order sets.
void ConfirmLimit(Fleet& fleet, const ThrottleOrder& order);
/// Records that the worker may apply another limit than the order's.
void ForgetLimit(Fleet& fleet, const ThrottleOrder& order);
/// Handles a stop or throttle order, sent under `token`, with an unknown
/// outcome: raises the worker's fencing token, so that no order sent earlier
/// can take effect.
void ApplyOrderFailure(Fleet& fleet, const WorkerId& worker,
                       FencingToken token);
/// Sets the time that the fleet's functions use where they are given none.
void SetTime(Fleet& fleet, TimePoint now, std::int64_t unix_ms);
/// Releases due occurrences, refreshes ranks, handles expired leases, and
/// sends polls that are due and stops that have to be repeated.
void TickFleet(Fleet& fleet, TimePoint now, std::int64_t unix_ms);
/// Starts waiting tasks on workers with available capacity. Returns whether it
/// ended because it had started enough tasks for one pass.
bool PlaceRuns(Fleet& fleet, TimePoint now);
/// Adjusts the processor limits of best-effort tasks to the headroom of the
/// serving tasks on the same worker; `runs` are all its runs, in their order.
void ThrottleBestEffort(Fleet& fleet, Worker& worker,
                        const std::vector<FoundRun>& runs, TimePoint now);

// Helpers that the source files of the fleet share.

/// Returns the job; nullptr if it is unknown.
Job* FindJob(Fleet& fleet, const JobKey& key);
/// Returns the worker; nullptr if it is unknown.
Worker* FindWorker(Fleet& fleet, const WorkerId& worker);
/// Returns the worker, which is added if it is unknown.
Worker& AddWorker(Fleet& fleet, const WorkerId& worker);
/// Returns the task and sets `job`; nullptr if the task is unknown.
Task* FindTask(Fleet& fleet, const TaskReference& reference, Job*& job);
/// Looks the run's task up; the result refers to `reference`.
FoundRun FindRun(Fleet& fleet, const TaskReference& reference);
/// Records the worker's incarnation. If it has restarted, resets what its
/// previous incarnation reported and fires WorkerEvent::kRestarted.
void UpdateIncarnation(Fleet& fleet, Worker& worker, Incarnation incarnation,
                       TimePoint now);
/// Applies an event to a task's state machine and updates the job; returns
/// StepResult::kIgnored if the state ignores the event.
StepResult StepTask(Fleet& fleet, Job& job, const TaskReference& reference,
                    RunEvent event);
/// Applies an event to a worker's state machine; adds a FleetEvent if its state
/// changes.
void StepWorker(Fleet& fleet, Worker& worker, WorkerEvent event);
/// Marks the task as stopping and adds a stop order for its run.
void SendStop(Fleet& fleet, Job& job, const TaskReference& reference,
              TimePoint now);
/// Inserts the step into its waiting steps if it has tasks to place; removes it
/// otherwise.
void UpdateWaitingSteps(Fleet& fleet, Job& job, std::size_t step_run_index);
/// Updates the state that the submitter sees and adds the job to
/// m_changed_jobs.
void MarkChanged(Fleet& fleet, Job& job);
/// Does so for a change of one task's progress.
void MarkTaskChanged(Fleet& fleet, Job& job, const TaskReference& reference);
/// Counts a failed run as an attempt of its task, and of all members of its
/// gang; returns false if it is counted already.
bool CountFailedRun(Fleet& fleet, Job& job, const TaskReference& reference,
                    RunNumber run);
/// Returns the current settings of the job's queue, or those at acceptance if
/// the queue no longer exists.
const Queue& QueueSettingsOf(const Fleet& fleet, const Job& job);
/// Returns the deadline of a lease that is granted now, on the worker's clock.
WorkerMilliseconds LeaseDeadlineAt(const Fleet& fleet, const Worker& worker,
                                   TimePoint now);
/// Returns the estimated reading of the worker's clock at `now`.
WorkerMilliseconds WorkerClockAt(const Worker& worker, TimePoint now);
/// Returns the time at which the worker's lease has certainly expired.
TimePoint LeaseEndOf(const Worker& worker);
/// Interrupts the run if its start is unconfirmed.
void AbandonStart(Fleet& fleet, Job& job, const TaskReference& reference);
/// Stops services and tasks that save their progress on a leaving worker, so
/// that they restart on another one.
void EvacuateRuns(Fleet& fleet, Worker& worker, TimePoint now);
/// Returns the time from the worker's last report to its next poll.
Duration PollSpacing(const Fleet& fleet, const Worker& worker);
/// Counts the jobs per queue that have neither failed nor been cancelled and of
/// which no task is known to have started.
const std::map<QueueId, std::uint64_t>& CountPending(const Fleet& fleet);
/// Counts the job in m_pending_counts or no more, as its state requires.
void UpdatePendingCount(Fleet& fleet, Job& job);

}  // namespace daisyarch::fleet
