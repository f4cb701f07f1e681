#pragma once

#include <cstddef>
#include <functional>
#include <vector>

#include "base/ids.h"
#include "base/result.h"
#include "base/time.h"
#include "settings/site_settings.h"

// A cancellation that finds no job may be overtaken by the submission, which a
// node repeats or the store carries out seconds later. So it is stored as a
// withdrawal, on whose absence each submission depends.

namespace daisyarch::fleet {

struct FleetRuntime;

/// Outcome of a withdrawal.
enum class Withdrawal {
  kStored,    ///< No job is stored under the key from now on.
  kJobFound,  ///< A job has been stored or has ended meanwhile.
  kNotStored,
  kUnknown,  ///< May have taken effect, or may do so later.
};

using WithdrawalCallback = std::function<void(Withdrawal)>;

/// A withdrawal that waits for a write, or for its outcome.
struct PendingWithdrawal {
  JobKey m_key;
  TimePoint m_deadline{};
  bool m_may_be_applied = false;  ///< A write of it got no answer.
  WithdrawalCallback m_on_answer;
};

/// The withdrawals of one node. They share writes, which are limited in their
/// rate: requests for jobs that never existed must not take the store's writes
/// from the leader.
struct Withdrawals {
  std::vector<PendingWithdrawal> m_waiting;
  std::vector<PendingWithdrawal> m_writing;  ///< By the write in flight.
  bool m_is_timer_set = false;
  TimePoint m_next_at{};  ///< No write is sent before.
};

/// How long a withdrawal is kept: as long as the state of an ended job.
Duration WithdrawalRetention(const SiteSettings& settings);

/// Stores that no job may be stored under the key for the retention period.
/// kNotStored at once if its turn would come after the deadline.
void WithdrawJob(FleetRuntime& runtime, const JobKey& key, TimePoint deadline,
                 WithdrawalCallback on_answer);

}  // namespace daisyarch::fleet
