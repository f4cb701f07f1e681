#pragma once

#include <array>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>

#include "decisions/fleet/change_batch.h"
#include "decisions/fleet/job_routes.h"
#include "decisions/fleet/learned_run_times.h"
#include "decisions/fleet/roster.h"
#include "decisions/fleet/start_journal.h"
#include "fleet/fleet_runtime.h"
#include "fleet/prefix_watch.h"
#include "fleet/relay_links.h"
#include "wire/encoded_progress.h"

namespace daisyarch::fleet {

/// This node's leadership claim, as the store holds it.
struct LeadershipClaim {
  Term m_term;
  StoreLeaseId m_lease;
  StoreRevision m_revision;  ///< Of the claim key; every write expects it.
  StoreRevision m_term_revision;
  Predecessor m_predecessor;  ///< As known when the claim was written.
};

/// A transaction that stores a range of a batch's changes.
struct ProgressTransaction {
  std::size_t m_begin = 0;  ///< Index of its first change.
  std::size_t m_end = 0;    ///< Index past its last change.
  std::size_t m_value_bytes = 0;
  StoreTransaction m_transaction;
  bool m_is_in_flight = false;
  TimePoint m_retry_at{};  ///< When it is sent again, if it is not in flight.
};

/// Writes one batch of changes to the store, several transactions at a time.
struct BatchWriter {
  ChangeBatch m_batch;
  TimePoint m_began_at{};
  std::size_t m_next_change = 0;  ///< Index of the first in no transaction yet.
  /// The transactions that are not applied yet, by m_begin.
  std::map<std::size_t, ProgressTransaction> m_open;
  bool m_is_failing = false;     ///< The last call got no answer or an error.
  BatchNumber m_last_batch;      ///< The latest that has begun.
  bool m_is_incomplete = false;  ///< Some of its changes are left to the next.
};

/// Writes the start journal, one write at a time. Starts leave once it names
/// them.
struct StartWriter {
  OpenStarts m_open;
  std::vector<StartOrder> m_waiting;  ///< For the next write.
  std::vector<StartOrder> m_writing;  ///< Named by the write in flight.
  /// Named by the stored journal, and waiting for a newer listing.
  std::vector<StartOrder> m_named;
  bool m_is_in_flight = false;
  TimePoint m_next_at{};  ///< No write is sent before.
  TimePoint m_next_check_at{};
  TimePoint m_sent_at{};  ///< The latest write.
  TimePoint m_next_clearing_at{};
  StoreRevision m_revision;  ///< Of the stored journal.
  /// The journal of the leader before stays until this batch is stored.
  BatchNumber m_inherited_batch;
};

/// Writes what the leader has learned of run times.
struct RunTimesWriter {
  bool m_is_writing = false;
  TimePoint m_next_at{};
  LearnedRunTimes m_stored;  ///< As last read or written.
};

/// Counts the log lines of one kind since the start of its period.
struct LogBudget {
  TimePoint m_started_at{};
  std::uint64_t m_line_count = 0;  ///< Written or dropped.
};

/// Removes old withdrawals from the store.
struct WithdrawalRemover {
  std::vector<std::string> m_old;  ///< Keys of those that are still stored.
  bool m_is_calling = false;
  TimePoint m_next_at{};  ///< No call is sent before.
};

/// What the leader has handled since its last status line, and the time that it
/// took.
struct LoopLoad {
  std::uint64_t m_passes = 0;   ///< Scheduling passes.
  std::uint64_t m_reports = 0;  ///< Answers to polls.
  /// Reports that list only ends which were applied before: they are not stored
  /// yet, or may not be acknowledged yet.
  std::uint64_t m_repeated_reports = 0;
  std::uint64_t m_listed_ends = 0;  ///< In all reports.
  Duration m_report_time{};
  Duration m_placement_time{};  ///< In PlaceRuns().
  Duration m_tick_time{};       ///< In TickFleet().
  /// Orders to workers of each kind, by index into Order.
  std::array<std::uint64_t, std::variant_size_v<Order>> m_orders{};
  Duration m_order_time{};
  std::uint64_t m_relayed_orders = 0;  ///< Of all these orders.
  std::uint64_t m_relay_calls = 0;     ///< That carried them.
  std::uint64_t m_batches = 0;         ///< Batches of changes that were stored.
  Duration m_longest_batch{};  ///< From taking its changes to the last answer.
  std::uint64_t m_encoded_rows = 0;   ///< Rows of progress that have changed.
  std::uint64_t m_written_rows = 0;   ///< Rows in the values that were written.
  std::uint64_t m_written_bytes = 0;  ///< Of these values.
  std::uint64_t m_start_writes = 0;   ///< Of the start journal.
  std::uint64_t m_written_starts = 0;  ///< That left after such a write.
  Duration m_start_hold{};  ///< Sum, from their decision until they left.
  Duration m_write_time{};  ///< Spent on taking, encoding and sending them.
};

/// What a node needs while it leads: the fleet, and the state of its calls to
/// the store and the workers.
struct Leader {
  FleetRuntime& m_runtime;
  LeadershipClaim m_claim;
  Fleet m_fleet;
  RelayLinks m_relays;
  Predecessor m_predecessor;
  std::function<void(const std::string& reason)> m_on_claim_lost;
  std::function<bool()> m_may_start_runs;
  /// Jobs that were stored before this time may have been started by the
  /// previous leader, which may not know yet that it has lost its claim.
  TimePoint m_inherits_jobs_until{};
  bool m_is_loaded = false;
  TimePoint m_loaded_at{};
  StoreRevision m_roster_revision;  ///< Of the store when the roster was read.
  bool m_has_logged_wait_end = false;
  PrefixWatchPointer m_jobs_watch;
  /// Unfinished jobs with a stored cancellation, which may be seen before the
  /// job itself.
  std::set<JobKey> m_cancelled_jobs;
  /// Revisions of the items of the jobs' progress, by key.
  std::map<std::string, StoreRevision> m_progress_revisions;
  /// The encoded rows of the parts of unfinished jobs' progress that this
  /// leader has stored, by key.
  std::map<std::string, EncodedRows> m_encoded_rows;
  /// Keys of the parts of ended jobs that are still stored.
  std::set<std::string> m_obsolete_parts;
  BatchWriter m_writer;
  StartWriter m_start_writer;
  TimePoint m_next_write_at{};
  PrefixWatchPointer m_workers_watch;
  PrefixWatchPointer m_evacuations_watch;  ///< Null: there are no evacuations.
  bool m_last_evacuations_succeeded = true;
  /// Changes of the listing from the answer that is being handled.
  std::vector<ListedChange> m_worker_changes;
  bool m_has_worker_listing = false;
  bool m_last_listing_succeeded = true;
  /// Keys of the listing whose entries name no worker.
  std::set<std::string> m_unreadable_entries;
  /// Workers whose last answer to a poll was malformed.
  std::set<WorkerId> m_malformed_reporters;
  /// Empty before the first write and while the outcome of a write is unknown.
  std::optional<std::map<QueueId, std::uint64_t>> m_stored_pending_counts;
  StoreRevision m_pending_revision;
  bool m_is_writing_pending = false;
  TimePoint m_next_pending_at{};
  bool m_is_writing_effects = false;
  TimePoint m_next_effects_at{};
  /// Interference::m_sample_count at the last write of the effects.
  std::uint64_t m_stored_sample_count = 0;
  RunTimesWriter m_run_times_writer;
  /// The drained term is stored, or its write is in flight.
  bool m_has_sent_drained_term = false;
  /// Revisions of the workers' items in the stored roster.
  std::map<WorkerId, StoreRevision> m_roster_item_revisions;
  bool m_is_writing_roster = false;
  bool m_has_roster_write_failed = false;  ///< The last one got no answer.
  TimePoint m_next_roster_at{};
  bool m_is_removing = false;
  TimePoint m_next_removal_at{};
  WithdrawalRemover m_withdrawal_remover;
  bool m_is_pass_requested = false;
  TimePoint m_next_placement_at{};
  LogBudget m_routine_log_budget;
  LogBudget m_log_budget;  ///< Of all other events.
  TimePoint m_next_status_at{};
  TimePoint m_ticked_at{};
  Duration m_tick_gap{};             ///< Smoothed.
  Duration m_longest_tick_gap{};     ///< Since the last status line.
  LoopLoad m_load;                   ///< Since then.
  TimePoint m_jobs_watch_lost_at{};  ///< When its failure was last logged.
};

using LeaderPointer = std::shared_ptr<Leader>;

/// Reads jobs, progress and roster from the store, then calls `on_loaded`. If
/// a read fails, the claim is reported as lost.
void LoadLeader(const LeaderPointer& leader, const JobRoutes& routes,
                std::function<void()> on_loaded);

/// Follows the platform's listing of workers.
void StartWorkersWatch(const LeaderPointer& leader);

/// Follows the evacuations of failure domains, unless the platform states no
/// bound for them.
void StartEvacuationsWatch(const LeaderPointer& leader);
/// Sends its next call to the store, if one is due.
void TickEvacuationsWatch(const LeaderPointer& leader);

/// Runs the time-dependent work of a loaded leader: the watch on jobs, the
/// worker listing, the periodic writes and a scheduling pass.
void TickLeader(const LeaderPointer& leader);

/// Requests one scheduling pass after the events that are already due. The
/// pass places waiting tasks, sends orders and writes changes.
void RequestSchedulingPass(const LeaderPointer& leader);

/// Sends the fleet's waiting orders to the workers, directly or through relays,
/// and applies their outcomes.
void SendOrders(const LeaderPointer& leader);

/// Holds a start back until the start journal names it.
void HoldStart(Leader& leader, StartOrder order);
/// Writes the start journal if there is news, and takes starts back that have
/// waited for too long.
void WriteStarts(const LeaderPointer& leader);
/// Reads the start journal of the leader before and takes it over. Jobs and
/// roster must be loaded.
void LoadStarts(const LeaderPointer& leader, std::function<void()> on_loaded);
/// Sends a start that the journal names, directly or through a relay.
void SendStart(const LeaderPointer& leader, StartOrder order);
/// Takes a start back that was never sent.
void WithholdStart(const LeaderPointer& leader, const StartOrder& order);

/// Returns whether a start that was decided on may still leave: in a long turn
/// the claim may have ended since, or the listing have become too old.
bool MayStartsLeave(const Leader& leader);

/// Applies the outcome of an order, which has to be of the order's kind.
void HandleOrderOutcome(const LeaderPointer& leader, const Order& order,
                        const OrderOutcome& outcome);

/// True when every change is stored.
bool AreChangesStored(const Leader& leader);

/// Stores which workers the next leader still has to wait for, and how long.
/// Calls `on_written` even if the write fails.
void WriteHandover(const LeaderPointer& leader,
                   std::function<void()> on_written);
/// Starts to store changes that are due, or retries a failed transaction.
void WriteChanges(const LeaderPointer& leader);
/// Removes obsolete parts of progress, and the progress of jobs whose retention
/// period is over.
void RemoveOldProgress(const LeaderPointer& leader);
/// Removes the withdrawals whose retention period is over; see withdrawals.h.
void RemoveOldWithdrawals(const LeaderPointer& leader);
/// Writes the fleet's events to the metrics and, at a limited rate, to the
/// log.
void LogFleetEvents(Leader& leader);
/// Logs, once per term, when the leader stops waiting for runs of earlier
/// leaders.
void LogWaitEnd(Leader& leader);
/// Logs the leader's load, the numbers of tasks and workers by state and the
/// steps that are stalled, at a fixed interval. Called at every tick.
void LogLeaderStatus(Leader& leader);
/// Returns the condition of every write of this leader: it holds its claim.
StoreExpectation ClaimExpectation(const Leader& leader);
/// Stores workers in the roster before they get work, and removes those that
/// can run nothing.
void WriteRoster(const LeaderPointer& leader);
/// Stores the number of jobs per queue that have not started, if it changed.
void WritePendingCounts(const LeaderPointer& leader);
/// Reads the effects and run times that earlier leaders have learned.
void LoadEffects(const LeaderPointer& leader);
/// Stores the learned effects and run times, each at a fixed interval if there
/// is news.
void WriteEffects(const LeaderPointer& leader);
void LoadRunTimes(const LeaderPointer& leader);
void WriteRunTimes(const LeaderPointer& leader);
/// Logs what is known of run times, with the status line.
void LogRunTimes(const Leader& leader);
/// Stores, once per term, that the term is drained; see kDrainedTermKey.
void WriteDrainedTerm(const LeaderPointer& leader);

}  // namespace daisyarch::fleet
