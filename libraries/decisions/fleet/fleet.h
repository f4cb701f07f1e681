#pragma once

#include <map>
#include <memory>
#include <set>
#include <string>
#include <tuple>
#include <unordered_map>
#include <variant>
#include <vector>

#include "base/result.h"
#include "chart/state_machine.h"
#include "decisions/fleet/fleet_job.h"
#include "decisions/fleet/fleet_worker.h"

namespace daisyarch::fleet {

/// Bounds that the platform sets for its workers.
struct FleetLimits {
  /// Of each lease that is granted; well under the worker's own maximum.
  Duration m_lease = std::chrono::seconds(4);
  /// Longer leases are shortened by the workers.
  Duration m_longest_lease = std::chrono::seconds(10);
  /// How long an answer may wait for an end.
  Duration m_look_wait = std::chrono::milliseconds(1000);
  /// A worker may run tasks of a leader that was cut off for this long.
  Duration m_inherited_lease = std::chrono::milliseconds(8500);
  /// A serving task may be over its target for this long.
  Duration m_harm = std::chrono::milliseconds(4000);
  double m_far_factor = 1.5;  ///< How much slower a task is off its rack.
  /// Nothing starts on the word of a listing that was asked for longer ago:
  /// a worker may have said since then that it leaves.
  Duration m_listing_age = std::chrono::milliseconds(1700);
};

struct StartOrder {
  WorkerId m_worker;
  Incarnation m_incarnation;
  TaskReference m_task;
  RunNumber m_run;
  FencingToken m_token;
  WorkerMilliseconds m_lease_until;
  std::string m_payload;
  std::string m_checkpoint;
};

struct StopOrder {
  WorkerId m_worker;
  Incarnation m_incarnation;
  TaskReference m_task;
  RunNumber m_run;
  FencingToken m_token;
};

struct PaceOrder {
  WorkerId m_worker;
  Incarnation m_incarnation;
  TaskReference m_task;
  RunNumber m_run;
  FencingToken m_token;
  std::uint8_t m_percent = 100;
};

/// Asks for the worker's lists and extends its lease.
struct LookOrder {
  WorkerId m_worker;
  std::uint64_t m_look = 0;
  FencingToken m_token;
  OutcomeNumber m_acknowledged;
  bool m_has_lease = false;
  WorkerMilliseconds m_lease_until;
  Duration m_wait{};
};

using Order = std::variant<StartOrder, StopOrder, PaceOrder, LookOrder>;

/// How a start came out.
enum class StartOutcome {
  kStarted,
  kRefused,     ///< Certainly not run.
  kUnanswered,  ///< May run, now or later.
};

/// Something that an operator may have to be told, for the log.
struct FleetEvent {
  const char* m_name;  ///< What happened.
  JobKey m_job;        ///< Empty where it concerns no job.
  WorkerId m_worker;
  RunNumber m_run;
  Duration m_age{};  ///< Of the job, or since the worker last answered.
};

struct FleetMachines;

/// Steps by job and place in it, the most urgent first.
using WaitingSteps = std::set<std::tuple<QueueRank, JobKey, std::size_t>>;

/// All that a leader knows of its workers and jobs, and the orders that wait
/// to be sent.
struct Fleet {
  const FleetMachines* m_machines = nullptr;
  FleetLimits m_limits;
  Term m_term;
  /// When the last worker that has not answered can run nothing any more.
  TimePoint m_unseen_ends_at{};
  /// No lease that this leader grants lasts longer, so that a later leader
  /// knows when all of them are over.
  TimePoint m_grants_end_at = TimePoint::max();
  std::map<QueueId, Queue> m_queues;
  std::map<WorkerId, Worker> m_workers;
  TimePoint m_listed_at{};      ///< When the latest listing was asked for.
  std::set<WorkerId> m_roster;  ///< Workers that are stored.
  std::unordered_map<std::string, std::unique_ptr<Job>> m_jobs;
  /// Released steps with waiting tasks on reserved processors.
  WaitingSteps m_waiting;
  /// The same for fillers, which take none of these. Finding them a place is
  /// costly, so it is done now and then, for many at once.
  WaitingSteps m_waiting_fillers;
  TimePoint m_next_filler_pass_at{};
  TimePoint m_next_stop_repeat_at{};
  Interference m_interference;
  /// Occurrences that are not due yet.
  std::set<std::tuple<std::int64_t, JobKey, std::uint32_t>> m_timed;
  /// Jobs whose stored progress is behind.
  std::set<JobKey> m_changed;
  /// Jobs among them whose end users wait for.
  bool m_has_urgent_change = false;
  bool m_is_storing = false;  ///< A batch of changes is under way.
  bool m_needs_placement = false;
  TimePoint m_next_ranking_at{};
  std::vector<Order> m_orders;
  std::vector<FleetEvent> m_events;
};

/// What the guards and actions of charts/run.yaml read and change.
struct RunContext {
  Fleet& m_fleet;
  Job& m_job;
  TaskReference m_reference;
  StepRun& m_step_run;
  const StepPlan& m_step;
  Task& m_task;
};
using RunMachine = StateMachine<RunState, RunEvent, RunContext>;
ChartBinding<RunContext> RunBinding();

/// What the actions of charts/fleet_worker.yaml change.
struct WorkerContext {
  Fleet& m_fleet;
  Worker& m_worker;
};
using WorkerMachine = StateMachine<WorkerState, WorkerEvent, WorkerContext>;
ChartBinding<WorkerContext> WorkerBinding();

struct FleetMachines {
  RunMachine m_run;
  WorkerMachine m_worker;
};

/// Loads the charts of the fleet; kInvalidArgument or kNotFound.
Result<FleetMachines> LoadFleetMachines(const std::string& directory);

/// The first run that a leader of this term starts; above all earlier ones.
RunNumber FirstRun(Term term);

/// Every order of one worker carries at least this token in this term.
FencingToken FirstToken(Term term);

// What happens to a fleet. Each function may add orders and changed jobs.

/// Adds a job that is stored, with the progress that is stored, if any;
/// nothing when it is known already.
void AddJob(Fleet& fleet, JobPlan plan, const JobProgress& progress,
            TimePoint accepted_at);
/// Works out anew which jobs can still be in time; those go first.
void RefreshRanks(Fleet& fleet, TimePoint now);
/// Moves waiting jobs to what their queues now promise.
void ApplyQueues(Fleet& fleet, std::map<QueueId, Queue> queues);
/// Cancels a job; its runs are stopped.
void CancelJob(Fleet& fleet, const JobKey& key, TimePoint now);
/// Drops a job whose end is stored.
void ForgetJob(Fleet& fleet, const JobKey& key);
/// Takes over the platform's whole list of workers, as it was at some moment
/// after `asked_at`.
void ApplyListing(Fleet& fleet, const std::vector<ListedWorker>& listing,
                  TimePoint asked_at, TimePoint now);
void ApplyReport(Fleet& fleet, const WorkerId& worker, std::uint64_t look,
                 FencingToken token, const WorkerReport& report, TimePoint now);
void ApplyLookFailure(Fleet& fleet, const WorkerId& worker, std::uint64_t look,
                      TimePoint now);
void ApplyStartOutcome(Fleet& fleet, const StartOrder& order,
                       StartOutcome outcome, TimePoint now);
/// Raises the worker's token, so that no order sent so far can take effect.
void ApplyOrderFailure(Fleet& fleet, const WorkerId& worker);
/// Lapsed leases, looks that are due, stops to repeat, occurrences, pacing.
void TickFleet(Fleet& fleet, TimePoint now, std::int64_t unix_ms);
/// Sends waiting tasks to workers with room.
void PlaceRuns(Fleet& fleet, TimePoint now);
/// Raises and lowers what fillers get beside serving tasks.
void PaceFillers(Fleet& fleet, Worker& worker, TimePoint now);

// Shared by the parts of the fleet.

Job* FindJob(Fleet& fleet, const JobKey& key);
Worker* FindWorker(Fleet& fleet, const WorkerId& worker);
/// The task and its job; nullptr if the fleet does not know it.
Task* FindTask(Fleet& fleet, const TaskReference& reference, Job*& job);
/// Gives up what the worker ran before if it is another incarnation.
void NoteIncarnation(Fleet& fleet, Worker& worker, Incarnation incarnation,
                     TimePoint now);
/// Steps one task's chart; StepResult::kIgnored when the event does not fit.
StepResult StepTask(Fleet& fleet, Job& job, const TaskReference& reference,
                    RunEvent event);
void StepWorker(Fleet& fleet, Worker& worker, WorkerEvent event);
void SendStop(Fleet& fleet, Job& job, const TaskReference& reference,
              TimePoint now);
/// Releases the steps of one occurrence whose earlier steps are done.
void ReleaseSteps(Fleet& fleet, Job& job, std::uint32_t occurrence);
/// Where a step of the job waits.
WaitingSteps& QueueOf(Fleet& fleet, const Job& job, std::size_t step_run);
/// Puts a step into the queue, or takes it out, as its waiting tasks say.
void UpdateQueue(Fleet& fleet, Job& job, std::size_t step_run);
/// Works the job's visible state out and notes that it has to be stored.
void NoteChange(Fleet& fleet, Job& job);
/// The terms in force for the job's queue, or those at its acceptance.
const Queue& TermsOf(const Fleet& fleet, const Job& job);
/// The deadline of a lease that is granted now, by the worker's clock.
WorkerMilliseconds LeaseGrantedAt(const Fleet& fleet, const Worker& worker,
                                  TimePoint now);
WorkerMilliseconds WorkerClockAt(const Worker& worker, TimePoint now);
/// When the worker's lease is certainly over.
TimePoint LeaseEndOf(const Worker& worker);
/// Tasks of the queue's jobs that have not started anywhere.
std::map<QueueId, std::uint64_t> CountPending(const Fleet& fleet);

}  // namespace daisyarch::fleet
