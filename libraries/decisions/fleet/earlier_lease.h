#pragma once

#include "decisions/fleet/fleet.h"
#include "decisions/fleet/roster.h"

// An order names a lease's deadline on the clock of the incarnation that it is
// meant for. The next incarnation takes the order as well, until it has seen a
// higher fencing token. Its clock has just begun, so that the deadline is far
// ahead and grants the longest lease that the worker allows. Until a report
// under a higher token, and for the longest lease after it, whatever runs on
// the worker may therefore run on for longer than the lease that a leader has
// granted; the next leader has to know of that.

namespace daisyarch::fleet {

/// Records that the worker is now another incarnation than the one that this
/// leader has sent orders to.
void RecordRestartedLease(Worker& worker);
/// Prolongs a takeover's wait for a worker whose present incarnation is not the
/// one that an earlier leader stored: an order of that leader may have granted
/// the longest lease.
void AwaitUnknownRestart(Fleet& fleet, Worker& worker, TimePoint now);
/// Assumes the longest lease after a worker's first report if a lease of which
/// no leader knows may last.
void ExtendUnknownLease(Fleet& fleet, Worker& worker,
                        const WorkerReport& report, TimePoint now);
/// Returns until when the worker may hold a lease that an order to an earlier
/// incarnation granted; a time in the past if it holds none.
TimePoint EarlierLeaseEnd(const Fleet& fleet, const Worker& worker,
                          TimePoint now);

/// Returns what is stored of the worker.
RosterEntry RosterEntryOf(const Fleet& fleet, const Worker& worker);
/// Takes over what an earlier leader has stored.
void RestoreRosterEntry(const Fleet& fleet, const RosterEntry& entry,
                        Worker& worker, TimePoint now);

}  // namespace daisyarch::fleet
