#pragma once

#include <string>

#include "base/ids.h"

namespace daisyarch::fleet {

// The keys of this system in the platform's store.

inline const std::string kLeadPrefix = "daisyarch/lead/";
/// Names the leader; bound to its lease.
inline const std::string kHolderKey = "daisyarch/lead/holder";
/// Counts the leaders; outlives them.
inline const std::string kTermKey = "daisyarch/lead/term";
/// The term of the last leader whose process is known to be gone.
inline const std::string kEndedKey = "daisyarch/lead/ended";
/// The last term in which every worker had answered, or could run nothing of
/// earlier leaders any more.
inline const std::string kSettledKey = "daisyarch/lead/settled";
/// What the last leader that stopped in order told the next one.
inline const std::string kHandoverKey = "daisyarch/lead/handover";
/// Accepted jobs that have not ended, and their cancellations.
inline const std::string kJobPrefix = "daisyarch/jobs/";
/// What became of each job's tasks.
inline const std::string kProgressPrefix = "daisyarch/progress/";
/// How many jobs of each queue wait, as the leader counts them.
inline const std::string kPendingKey = "daisyarch/pending";
/// The address of each worker that may run something.
inline const std::string kRosterPrefix = "daisyarch/workers/";

inline std::string JobItemKey(const JobKey& key) {
  return kJobPrefix + key.value();
}
inline std::string CancelItemKey(const JobKey& key) {
  return kJobPrefix + key.value() + "/cancel";
}
inline std::string ProgressItemKey(const JobKey& key) {
  return kProgressPrefix + key.value();
}

inline std::string RosterItemKey(const WorkerId& worker) {
  return kRosterPrefix + worker.value();
}

}  // namespace daisyarch::fleet
