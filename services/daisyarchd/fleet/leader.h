#pragma once

#include <map>
#include <memory>
#include <set>
#include <string>

#include "decisions/fleet/change_batch.h"
#include "decisions/fleet/job_routes.h"
#include "decisions/fleet/roster.h"
#include "fleet/fleet_runtime.h"
#include "fleet/prefix_watch.h"

namespace daisyarch::fleet {

/// The store's account of this node's claim.
struct Claim {
  Term m_term;
  StoreLeaseId m_lease;
  StoreRevision m_revision;  ///< Of the holder's key; every write expects it.
  StoreRevision m_term_revision;
  Predecessor m_predecessor;  ///< As known when the claim was sent.
};

/// A batch of changes on its way into the store, one transaction at a time.
struct BatchWriter {
  ChangeBatch m_batch;
  std::size_t m_next = 0;  ///< The first job that is not stored.
  bool m_is_busy = false;
  TimePoint m_retry_at{};
  StoreTransaction m_transaction;
  std::size_t m_transaction_end = 0;
};

/// The fleet of a node that leads, and its work with store and workers.
struct Leader {
  FleetRuntime& m_runtime;
  Claim m_claim;
  Fleet m_fleet;
  Predecessor m_predecessor;
  std::function<void(const std::string& reason)> m_on_claim_lost;
  std::function<bool()> m_may_start;
  bool m_is_loaded = false;
  PrefixWatchPointer m_jobs_watch;
  std::set<JobKey> m_cancelled;  ///< Cancelled before or after they came.
  std::map<JobKey, StoreRevision> m_progress_revisions;
  std::map<JobKey, std::int64_t> m_ended;  ///< When, for removal.
  BatchWriter m_writer;
  TimePoint m_next_write_at{};
  bool m_is_listing = false;
  bool m_has_workers = false;
  bool m_has_listing = true;  ///< The latest listing was answered.
  TimePoint m_next_listing_at{};
  std::map<QueueId, std::uint64_t> m_stored_pending;
  StoreRevision m_pending_revision;
  bool m_is_writing_pending = false;
  TimePoint m_next_pending_at{};
  bool m_has_settled = false;  ///< Stored, or on its way.
  bool m_is_writing_roster = false;
  TimePoint m_next_roster_at{};
  bool m_is_removing = false;
  TimePoint m_next_removal_at{};
  bool m_is_settling = false;
  TimePoint m_log_second{};       ///< When the budget of lines began.
  std::uint64_t m_log_lines = 0;  ///< Written, or left out, since then.
};

using LeaderPointer = std::shared_ptr<Leader>;

/// Reads jobs, progress and workers; calls `on_loaded` when work may begin.
void LoadLeader(const LeaderPointer& leader, const JobRoutes& routes,
                std::function<void()> on_loaded);

/// Timers of the fleet, the listing, the writer and the counts.
void TickLeader(const LeaderPointer& leader);

/// Places what can be placed and sends what waits, once for all events of
/// this turn of the loop.
void SettleSoon(const LeaderPointer& leader);

/// True when every change is stored.
bool HasStoredAll(const Leader& leader);

/// Tells the next leader what it need not wait for; calls `on_written` in
/// any case.
void WriteHandover(const LeaderPointer& leader,
                   std::function<void()> on_written);
/// Starts, and goes on with, storing changes that are due.
void WriteChanges(const LeaderPointer& leader);
/// Removes what is kept of jobs that ended long ago.
void RemoveOldProgress(const LeaderPointer& leader);
/// Writes what happened in the fleet to log and metrics, in bounded volume.
void LogFleetEvents(Leader& leader);
/// Stores workers before they get work, and drops those that are gone.
void WriteRoster(const LeaderPointer& leader);
void WritePending(const LeaderPointer& leader);
/// Stores, once a term, that nothing of earlier leaders can run any more.
void WriteSettled(const LeaderPointer& leader);

}  // namespace daisyarch::fleet
