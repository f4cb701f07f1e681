#pragma once

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "base/ids.h"
#include "base/resources.h"
#include "base/time.h"
#include "decisions/fleet/fleet_job.h"
#include "decisions/fleet/interference.h"
#include "decisions/fleet/worker_clock.h"
#include "decisions/fleet/worker_index.h"

namespace daisyarch::fleet {

/// States of charts/fleet_worker.yaml, in the order of WorkerBinding().
enum class WorkerState : std::uint8_t {
  kUnverified,
  kReady,
  kSilent,
  kLapsed,
};

/// Events of charts/fleet_worker.yaml, in the order of WorkerBinding().
enum class WorkerEvent : std::uint8_t {
  kReported,
  kOrderUnanswered,
  kPollFailed,
  kRestarted,
  kLeaseLapsed,
  kDelisted,
};

/// A worker's entry in the platform's listing.
struct ListedWorker {
  WorkerId m_worker;
  Incarnation m_incarnation;  ///< 0: not stated.
  PoolId m_pool;
  std::string m_address;
  FailureDomainId m_failure_domain;
  Resources m_capacity;
  std::vector<std::string> m_labels;  ///< Such as its kind and its rack.
  bool m_is_leaving = false;
};

/// A change of the platform's listing; without an entry, the worker is listed
/// no more.
struct ListedChange {
  WorkerId m_worker;
  std::optional<ListedWorker> m_entry;
};

/// A run that a worker reports as active.
struct ActiveRun {
  TaskReference m_task;
  RunNumber m_run;
  std::string m_checkpoint;
  std::uint8_t m_progress_percent = 0;
  std::int64_t m_load = 0;  ///< See Task::m_load.
};

/// Outcome of a run, as the worker reports it.
enum class RunOutcome : std::uint8_t {
  kDone,
  kFailed,
  kStopped,
  kLapsed,  ///< The lease expired.
  kBroken,  ///< Another member of its gang ended.
  kAlone,   ///< The other members of its gang did not start.
};

/// A run that a worker reports as ended.
struct EndedRun {
  OutcomeNumber m_number;  ///< Sequence number, per worker.
  TaskReference m_task;
  RunNumber m_run;
  RunOutcome m_outcome = RunOutcome::kStopped;
  std::string m_checkpoint;
};

/// A worker's answer to a poll.
struct WorkerReport {
  Incarnation m_incarnation;
  WorkerMilliseconds m_clock;  ///< Its clock at the answer.
  std::vector<ActiveRun> m_running;
  std::vector<EndedRun> m_ended;
  /// False if the worker may have ended runs after those in `m_ended`.
  bool m_lists_all_ends = true;
};

/// A report lists at most this many ended runs, the earliest first.
constexpr std::size_t kMaximumListedEnds = 500;

/// The leader's state of one worker.
struct Worker {
  WorkerNumber m_number;
  IndexedWorker m_indexed;
  ListedWorker m_listing;
  /// In the platform's latest listing, with an entry of this incarnation.
  bool m_is_listed = false;
  /// In the platform's latest listing, whatever its incarnation.
  bool m_has_entry = false;
  /// Its present incarnation and the end of a lease that an order to an earlier
  /// one granted are stored, so that a later leader polls and awaits it.
  bool m_is_in_roster = false;
  Incarnation m_roster_incarnation;  ///< The stored one; 0: none is.
  bool m_is_evacuated = false;  ///< Its failure domain is; see evacuation.h.
  WorkerState m_state = WorkerState::kUnverified;
  FencingToken m_token;  ///< Carried by every new order.
  /// Reports under lower tokens do not count: an order under one of these may
  /// still take effect.
  FencingToken m_report_token;
  /// Reserved by the runs; the processors of best-effort tasks do not count.
  Resources m_used;
  std::set<TaskReference> m_runs;
  ServingImages m_serving;  ///< Images of tasks with a latency target.
  BestEffortImages m_best_effort_images;  ///< Images of best-effort tasks.
  Millicores m_best_effort_demand;        ///< Sum over the best-effort tasks.
  /// Expected headrooms of the serving images; computed on demand and cleared
  /// when one of their inputs changes.
  std::vector<ServingHeadroom> m_headrooms;

  bool m_is_polling = false;          ///< A poll is waiting for its answer.
  std::uint64_t m_poll_number = 0;    ///< Number of the latest poll.
  OutcomeNumber m_poll_acknowledged;  ///< By the latest poll; 0: none.
  /// Of the latest poll that acknowledged ends and has no answer; 0: none.
  FencingToken m_acknowledging_token;
  /// Tasks that were started by orders without an answer yet; a few others, of
  /// which a report has shown the run.
  std::set<TaskReference> m_unanswered_starts;
  TimePoint m_poll_sent_at{};
  TimePoint m_next_poll_at{};

  /// Polls since the last answer that its host refused or closed.
  std::uint32_t m_closed_polls = 0;
  /// Polls since the last answer that failed otherwise.
  std::uint32_t m_unanswered_polls = 0;
  /// Runs that are counted as crashed because of its present silence.
  std::vector<std::pair<TaskReference, RunNumber>> m_crashed_runs;
  /// The job whose isolated tasks alone may start on it; empty: any task. See
  /// isolation.h.
  JobKey m_isolated_for;
  /// Until then no isolated task may hold it, so that others get their turn.
  TimePoint m_not_held_until{};

  OutcomeNumber m_applied_end;  ///< The last ended run that was applied.
  OutcomeNumber m_stored_end;   ///< Ended runs up to here are stored.
  /// Its last report listed ended runs that are not applied yet, or may have
  /// omitted some.
  bool m_has_unapplied_ends = false;
  /// Its last report listed runs, active or ended, of jobs that are not known
  /// but may become known.
  bool m_awaits_jobs = false;
  /// The first ended run whose job is not known, and since when it is listed.
  OutcomeNumber m_unknown_end;
  TimePoint m_unknown_end_since{};
  OutcomeNumber m_first_listed_end;  ///< In its last report; 0: none.
  std::size_t m_listed_ends = 0;     ///< In its last report.
  /// Those before its present one, as far as this leader knows them.
  std::set<Incarnation> m_former_incarnations;
  /// The latest answer to a poll came from this incarnation, and every order
  /// since then was answered.
  bool m_is_incarnation_confirmed = false;

  bool m_has_clock = false;    ///< This incarnation has reported its clock.
  WorkerMilliseconds m_clock;  ///< As last reported.
  TimePoint m_clock_read_at{};
  /// Its clock read 0 no earlier than this; 0: not known.
  TimePoint m_clock_began_after{};
  /// When its clock may show that an inherited late start is over.
  TimePoint m_late_start_check_at = TimePoint::max();
  WorkerMilliseconds m_lease_until;  ///< The latest deadline sent.
  /// A report to this leader has told of its present incarnation's leases.
  bool m_are_leases_known = false;
  /// An order to an earlier incarnation may have granted this one a lease, of
  /// which no report has told yet.
  bool m_may_hold_earlier_lease = false;
  /// Until then it may hold a lease that such an order granted; 0: it holds
  /// none.
  TimePoint m_earlier_lease_until{};
  /// The wait for it has been prolonged, as its incarnation is not the one that
  /// an earlier leader stored.
  bool m_is_unknown_restart_awaited = false;

  /// Until then the worker may run tasks that an earlier leader started; 0 once
  /// it has reported its runs to this leader.
  TimePoint m_inherited_runs_until{};

  /// Failed runs since the last success.
  std::uint32_t m_consecutive_failures = 0;
  TimePoint m_quarantined_until{};  ///< It gets no new tasks until then.
  /// Runs on the worker that belong to no task of the fleet. Their resources
  /// are unknown, so the worker gets no new tasks until they have ended.
  std::uint32_t m_unknown_runs = 0;
};

}  // namespace daisyarch::fleet
