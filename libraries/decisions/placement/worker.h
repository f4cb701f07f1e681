#pragma once

#include <set>

#include "base/ids.h"
#include "base/resources.h"
#include "base/time.h"
#include "decisions/placement/worker_messages.h"

namespace daisyarch {

/// The leaf states of charts/worker.yaml, in the same order.
enum class WorkerState : std::uint8_t {
  kUnseen,       ///< Has not answered this owner yet.
  kReady,        ///< Answers and accepts tasks.
  kProbing,      ///< Accepts one task, to check whether it works again.
  kQuarantined,  ///< "set_aside": its tasks kept failing; accepts no new ones.
  kSilent,       ///< Does not answer; its leases may still be valid.
  kLapsed,       ///< Does not answer; its leases have certainly expired.
};

/// The events of charts/worker.yaml, in the same order.
enum class WorkerEvent : std::uint8_t {
  kAnswered,
  kAnswerTimedOut,  ///< No answer for kWorkerSilenceTimeout.
  kLeasesExpired,   ///< No lease on the worker can still be valid.
  kTaskFinished,
  kTaskFailed,
  kQuarantineEnded,
};

/// One worker, as the owner of its partition sees it.
struct Worker {
  WorkerId m_id;
  WorkerState m_state = WorkerState::kUnseen;
  Resources m_capacity;  ///< As listed by the platform; zero until listed.
  Resources m_reserved;  ///< By attempts that may run on the worker.
  bool m_is_listed = false;
  bool m_is_leaving = false;
  std::set<TaskId> m_tasks;  ///< Active tasks assigned to this worker.
  Incarnation m_incarnation;
  WorkerClock m_clock;        ///< Last reported; see WorkerControl.
  TimePoint m_lease_base{};   ///< When `m_clock` arrived at the owner.
  TimePoint m_answered_at{};  ///< When the last answer arrived.
  std::uint32_t m_unanswered_messages = 0;   ///< In a row.
  std::uint32_t m_consecutive_failures = 0;  ///< Of tasks.
  /// Quarantines since a task last finished while the worker was probing.
  std::uint32_t m_quarantine_count = 0;
  TimePoint m_quarantined_until{};
};

/// Returns true when new tasks may be placed on the worker.
bool AcceptsTasks(const Worker& worker);

}  // namespace daisyarch
