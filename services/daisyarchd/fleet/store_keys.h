#pragma once

#include <string>

#include "base/ids.h"

namespace daisyarch::fleet {

// The keys that this program uses in the platform's store.

inline const std::string kLeadershipPrefix = "daisyarch/lead/";
/// The leadership claim: its value names the leader. It is bound to the
/// leader's store lease.
inline const std::string kClaimKey = "daisyarch/lead/holder";
/// The number of the latest term and its leader; not bound to a lease.
inline const std::string kTermKey = "daisyarch/lead/term";
/// The last term whose leader process is known to be gone.
inline const std::string kEndedTermKey = "daisyarch/lead/ended";
/// The last drained term: every worker had answered its leader, or could no
/// longer run anything that earlier leaders had started.
inline const std::string kDrainedTermKey = "daisyarch/lead/settled";
/// What the last leader that shut down cleanly left for the next one.
inline const std::string kHandoverKey = "daisyarch/lead/handover";
/// Accepted jobs that are unfinished, and their cancellations.
inline const std::string kJobPrefix = "daisyarch/jobs/";
/// State of each job, and progress of its tasks, in parts.
inline const std::string kProgressPrefix = "daisyarch/progress/";
/// How many jobs of each queue have not started, as counted by the leader.
inline const std::string kPendingKey = "daisyarch/pending";
/// What the leaders have learned of the effects of images on each other.
inline const std::string kEffectsKey = "daisyarch/effects";
/// What the leaders have learned of run times and of the workers' speeds.
inline const std::string kRunTimesKey = "daisyarch/run_times";
/// The roster: what a later leader has to know of each worker that may run
/// tasks; see RosterEntry.
inline const std::string kRosterPrefix = "daisyarch/workers/";

/// The starts of the leader whose outcomes are not stored with their jobs'
/// progress; see start_journal.h.
inline const std::string kStartsKey = "daisyarch/starts";

/// Keys under which no job may be stored, as a cancellation has found none, and
/// the Unix time in ms of that; see withdrawals.h.
inline const std::string kWithdrawnPrefix = "daisyarch/withdrawn/";

/// The nodes that can be relays, each under its id and bound to a lease.
inline const std::string kRelayPrefix = "daisyarch/relays/";

inline std::string JobItemKey(const JobKey& key) {
  return kJobPrefix + key.value();
}
inline std::string CancelItemKey(const JobKey& key) {
  return kJobPrefix + key.value() + "/cancel";
}
inline std::string ProgressItemKey(const JobKey& key) {
  return kProgressPrefix + key.value();
}

inline std::string WithdrawnItemKey(const JobKey& key) {
  return kWithdrawnPrefix + key.value();
}

/// Returns the key of one part of a job's progress; part 0 is the item above.
inline std::string ProgressPartKey(const JobKey& key, ProgressPart part) {
  if (part == ProgressPart()) return ProgressItemKey(key);
  return ProgressItemKey(key) + "/" + std::to_string(part.value());
}

inline std::string RosterItemKey(const WorkerId& worker) {
  return kRosterPrefix + worker.value();
}

}  // namespace daisyarch::fleet
