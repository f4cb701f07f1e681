#include "decisions/fleet/earlier_lease.h"

#include <algorithm>

#include "decisions/fleet/late_start.h"

namespace daisyarch::fleet {

namespace {

// Covers an order in transit.
constexpr Duration kTransitSlack = std::chrono::milliseconds(100);
// The clocks of the platform's workers may run 2% slow.
constexpr std::int64_t kClockDriftPercent = 102;
constexpr std::int64_t kPercent = 100;
// An earlier leader sends orders to an incarnation that is gone until its poll
// of it has failed: the poll's wait and timeout, and the order's dispatch.
constexpr Duration kUnnoticedRestart = std::chrono::seconds(3);

// Returns when a lease has ended that was granted by `granted_at` at the
// latest.
TimePoint LongestLeaseEnd(const FleetLimits& limits, TimePoint granted_at) {
  return granted_at + limits.m_longest_lease * kClockDriftPercent / kPercent +
         kTransitSlack;
}

// Returns whether the worker started so recently that a lease may last that an
// order to its earlier incarnation granted. Its clock begins at its start.
bool MayHaveRestarted(const FleetLimits& limits, const WorkerReport& report) {
  return report.m_clock <
         WorkerMilliseconds(ToMilliseconds(LongestEffectDelay(limits) +
                                           limits.m_longest_lease));
}

}  // namespace

// A takeover that waits for the worker goes on doing so.
void RecordRestartedLease(Worker& worker) {
  worker.m_lease_until = WorkerMilliseconds();
  worker.m_may_hold_earlier_lease = true;
  worker.m_are_leases_known = false;
  if (worker.m_inherited_runs_until != TimePoint()) return;
  worker.m_earlier_lease_until = TimePoint();
}

// The orders of earlier leaders grow no younger with further restarts.
void AwaitUnknownRestart(Fleet& fleet, Worker& worker, TimePoint now) {
  const bool is_awaited = now < worker.m_inherited_runs_until;
  if (!is_awaited || worker.m_is_unknown_restart_awaited) return;
  if (worker.m_roster_incarnation == Incarnation()) return;
  worker.m_is_unknown_restart_awaited = true;
  worker.m_earlier_lease_until =
      std::max(worker.m_earlier_lease_until,
               LongestLeaseEnd(fleet.m_limits, now + kUnnoticedRestart));
  worker.m_inherited_runs_until =
      std::max(worker.m_inherited_runs_until, worker.m_earlier_lease_until);
  fleet.m_inherited_runs_end_at =
      std::max(fleet.m_inherited_runs_end_at, worker.m_inherited_runs_until);
}

// Another leader may have granted the lease of runs that the worker reports
// before this leader has granted any. A leader that has stored this incarnation
// had heard of it, and stored the end of a lease that it may hold.
void ExtendUnknownLease(Fleet& fleet, Worker& worker,
                        const WorkerReport& report, TimePoint now) {
  const bool is_stored = worker.m_roster_incarnation != Incarnation() &&
                         worker.m_roster_incarnation == report.m_incarnation;
  const bool has_unstored_lease =
      worker.m_may_hold_earlier_lease ||
      (!is_stored && MayHaveRestarted(fleet.m_limits, report));
  // Nobody has sent orders to an earlier incarnation of any other worker.
  const bool had_orders = worker.m_may_hold_earlier_lease ||
                          worker.m_inherited_runs_until != TimePoint();
  worker.m_may_hold_earlier_lease = false;
  worker.m_are_leases_known = true;
  const bool may_hold_lease = !report.m_running.empty() || has_unstored_lease ||
                              now < worker.m_earlier_lease_until;
  if (!may_hold_lease || worker.m_lease_until != WorkerMilliseconds()) return;
  worker.m_lease_until =
      report.m_clock +
      WorkerMilliseconds(ToMilliseconds(fleet.m_limits.m_longest_lease));
  if (!has_unstored_lease || !had_orders) return;
  worker.m_earlier_lease_until = LongestLeaseEnd(fleet.m_limits, now);
  worker.m_is_in_roster = false;
  fleet.m_events.push_back({"earlier_lease_assumed", JobKey(),
                            worker.m_listing.m_worker, RunNumber(),
                            Duration{}});
}

TimePoint EarlierLeaseEnd(const Fleet& fleet, const Worker& worker,
                          TimePoint now) {
  return worker.m_may_hold_earlier_lease ? LongestLeaseEnd(fleet.m_limits, now)
                                         : worker.m_earlier_lease_until;
}

RosterEntry RosterEntryOf(const Fleet& fleet, const Worker& worker) {
  RosterEntry entry{worker.m_listing.m_worker, worker.m_listing.m_address,
                    worker.m_listing.m_incarnation};
  if (worker.m_earlier_lease_until != TimePoint()) {
    entry.m_earlier_lease_until_unix_ms =
        ToMilliseconds(worker.m_earlier_lease_until.time_since_epoch()) +
        fleet.m_unix_offset_ms;
  }
  return entry;
}

// The time of day of the node that stored the time may differ from this one's.
// The lease was granted before that.
void RestoreRosterEntry(const Fleet& fleet, const RosterEntry& entry,
                        Worker& worker, TimePoint now) {
  worker.m_listing.m_address = entry.m_address;
  worker.m_roster_incarnation = entry.m_incarnation;
  if (entry.m_earlier_lease_until_unix_ms == 0) return;
  const TimePoint by_time_of_day =
      TimePoint(FromMilliseconds(entry.m_earlier_lease_until_unix_ms -
                                 fleet.m_unix_offset_ms)) +
      kMaximumTimeOfDayError;
  const TimePoint until = std::min(
      by_time_of_day, LongestLeaseEnd(fleet.m_limits, now + kUnnoticedRestart));
  if (now < until) worker.m_earlier_lease_until = until;
}

}  // namespace daisyarch::fleet
