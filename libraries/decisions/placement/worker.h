#pragma once

#include <set>

#include "base/ids.h"
#include "base/resources.h"
#include "base/time.h"
#include "decisions/placement/worker_messages.h"

namespace daisyarch {

/// The leaves of charts/worker.yaml, in this order.
enum class WorkerState : std::uint8_t {
  kUnseen,       ///< Listed, but has not answered this owner.
  kReady,        ///< Answers and takes tasks.
  kProbing,      ///< Takes one task, to show that it works again.
  kQuarantined,  ///< Failed what it started; takes nothing for a while.
  kSilent,       ///< Does not answer; its leases may still run.
  kLapsed,       ///< Does not answer; its leases have certainly run out.
};

/// The events of charts/worker.yaml, in this order.
enum class WorkerEvent : std::uint8_t {
  kAnswered,
  kAnswerTimedOut,
  kLeasesExpired,
  kTaskFinished,
  kTaskFailed,
  kQuarantineEnded,
};

/// One worker as the owner of its partition sees it.
struct Worker {
  WorkerId m_id;
  WorkerState m_state = WorkerState::kUnseen;
  Resources m_capacity;  ///< As listed by the platform; zero until listed.
  Resources m_reserved;  ///< By attempts that may be on the worker.
  bool m_is_listed = false;
  bool m_is_leaving = false;
  std::set<TaskId> m_tasks;  ///< Active here.
  Incarnation m_incarnation;
  WorkerClock m_clock;        ///< The last reading; see WorkerControl.
  TimePoint m_lease_base{};   ///< When that reading had arrived.
  TimePoint m_answered_at{};  ///< When the last answer arrived.
  std::uint32_t m_unanswered_messages = 0;  ///< Messages since the last answer.
  std::uint32_t m_consecutive_failures = 0;
  std::uint32_t m_quarantine_count = 0;
  TimePoint m_quarantined_until{};
};

/// True when new tasks may be placed on the worker.
bool AcceptsTasks(const Worker& worker);

}  // namespace daisyarch
