#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "base/ids.h"
#include "base/time.h"
#include "decisions/fleet/late_start_clock.h"

namespace daisyarch::fleet {

/// States of charts/run.yaml, in the order of RunBinding().
enum class RunState : std::uint8_t {
  kWaiting,
  kStarting,
  kRunning,
  kUnconfirmed,  ///< The start got no answer and may have taken effect.
  kStopping,
  kResending,  ///< The start has not taken effect and is to be sent again.
  kSettling,   ///< Its run is over, but an order may start it again late.
  kDone,
  kFailed,
  kCancelled,
};

/// Events of charts/run.yaml, in the order of RunBinding().
enum class RunEvent : std::uint8_t {
  kPlaced,
  kStarted,
  kStartUnanswered,
  kStopRequested,
  kCompleted,
  kRunFailed,
  kInterrupted,  ///< The run is over, but neither done nor failed.
  kNotStarted,   ///< The worker's report shows that the start has not taken
                 ///< effect, and will not in this incarnation.
  kResent,
  kSuperseded,  ///< A later run that an earlier leader started is known.
  kAttemptsExhausted,
  kCancelled,
};

/// Whether the order that started a task's latest run has taken effect.
enum class StartConfirmation : std::uint8_t {
  kPending,      ///< The order has no answer yet.
  kConfirmed,    ///< The run has started.
  kUnconfirmed,  ///< The order may take effect until a poll with a higher
                 ///< token is answered.
};

/// One task of a step and its latest run.
struct Task {
  RunState m_state = RunState::kWaiting;
  StartConfirmation m_start_confirmation = StartConfirmation::kPending;
  std::uint8_t m_processor_limit_percent = 100;  ///< 100: unlimited.
  /// The worker is known to apply this limit. False while the order for it has
  /// no answer or has failed, and after an earlier leader may have set another.
  bool m_is_limit_confirmed = true;
  std::uint8_t m_progress_percent = 0;   ///< As last reported.
  std::vector<RunNumber> m_failed_runs;  ///< Without duplicates.
  /// Runs during which the worker crashed and that may have caused it; without
  /// duplicates. See crash_count.h.
  std::vector<RunNumber> m_crashed_runs;
  /// The same for runs in isolation, where the crash may have had another
  /// cause; none of them is in m_crashed_runs.
  std::vector<RunNumber> m_doubtful_runs;
  /// As last reported: the tail latency of a serving task in milliseconds, or
  /// the processor use of any other task in thousandths of a core.
  std::int64_t m_load = 0;
  RunNumber m_run;
  WorkerId m_worker;  ///< Empty while the task is on no worker.
  std::string m_checkpoint;
  /// When the latest start was handed over for sending, or before that, when
  /// it was decided.
  TimePoint m_start_sent_at{};
  TimePoint m_started_at{};  ///< When the start was confirmed; 0 before.
  /// Until then an unconfirmed start may take effect, or its run be active.
  TimePoint m_unconfirmed_until{};
  /// Until then an order that got no answer may start the task; see
  /// late_start.h.
  TimePoint m_late_start_until{};
  WorkerId m_late_start_worker;  ///< The worker that it was sent to.
  /// The same time as an earlier leader stored it, by that one's time of day;
  /// 0: this leader has sent the order, or there is none.
  std::int64_t m_inherited_late_start_unix_ms = 0;
  LateStartClock m_late_start_clock;
  Term m_late_start_term;  ///< Of the leader that sent the order.
  /// That order is the only one for the task's run, so that a report of the run
  /// shows that the order has taken effect.
  bool m_has_single_order = false;
  TimePoint m_over_target_since{};  ///< 0: tail latency is within its target.
  TimePoint m_limit_changed_at{};
  TimePoint m_stop_sent_at{};
};

}  // namespace daisyarch::fleet
