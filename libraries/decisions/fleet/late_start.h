#pragma once

#include "decisions/fleet/fleet.h"
#include "decisions/fleet/relay.h"

// A start order without an answer may take effect until
// FleetLimits::m_longest_order_delay after it has left. A report under a higher
// fencing token shows that the worker's present incarnation rejects the order,
// but the next one has seen no token. Until then the task may therefore run on
// this worker only, and no end of this worker is acknowledged: its next
// incarnation might start the task again, and an acknowledgement without an
// answer might reach that one and make it forget the end of that run.

namespace daisyarch::fleet {

/// An order does not leave on a connection that takes longer to be made.
constexpr Duration kMaximumConnectTime = std::chrono::milliseconds(500);
/// An order that is handed to a connection or to a relay's call leaves for its
/// worker within this time, or never.
constexpr Duration kMaximumDispatchTime =
    kMaximumRelayedOrderAge + kMaximumConnectTime;

/// A start leaves within this time of its decision, or never.
constexpr Duration kMaximumStartHold = std::chrono::seconds(2);

/// The times of day of two nodes differ by at most this: each may jump by up to
/// 5 s.
constexpr Duration kMaximumTimeOfDayError = std::chrono::seconds(10);

/// Returns how long after its handing over an order may take effect.
Duration LongestEffectDelay(const FleetLimits& limits);
/// Dates a start that is now handed to a connection or to a relay's call.
/// Its age, and that of its task's latest start, count from this.
void RecordStartSent(Fleet& fleet, StartOrder& order, TimePoint now);
/// Returns what the clock of the worker reads at `until`.
LateStartClock LateStartClockAt(Fleet& fleet, const WorkerId& id,
                                TimePoint until);
/// Returns until when an order may start the task although no answer to it is
/// awaited any more; a time in the past if there is none.
TimePoint LateStartUntil(const FleetLimits& limits, const Task& task);
/// Records that the latest order to start the task may take effect late.
void RecordLateStart(Fleet& fleet, Task& task);
/// Does so if that order has no answer yet.
void RecordPendingStart(Fleet& fleet, Task& task);
/// Forgets the late start of an earlier run: a leader starts a task again only
/// once no order can start an earlier run of it any more.
void ForgetLateStart(Task& task);
/// Returns until when a run whose start is unconfirmed may be active on a
/// worker that does not report.
TimePoint UnconfirmedUntil(const FleetLimits& limits, const Task& task,
                           TimePoint now);
/// Returns whether an order may have started the task after the latest poll of
/// its worker was sent.
bool MayStartLate(const Fleet& fleet, const Task& task);
/// Returns whether the task's present run may be started again at its worker:
/// the run has not been seen to end and is not suspected of a crash.
bool MayResend(const Fleet& fleet, const StepPlan& step, const Task& task);

/// Returns whether an order that got no answer may take effect at the worker's
/// next incarnation.
bool MayTakeOrderLate(const Fleet& fleet, const WorkerId& worker,
                      TimePoint now);
/// Returns whether an order of this leader or of an earlier one may still start
/// a task, as far as this leader knows.
bool MayAnyOrderStartLate(Fleet& fleet, TimePoint now);
/// Writes the task's late start into its row. One that an earlier leader stored
/// is passed on as it was read.
void StoreLateStart(const Task& task, std::int64_t unix_offset_ms,
                    TaskProgress& row);
/// Takes over what an earlier leader has stored of a late start, which has left
/// within `hold` of that.
void RestoreLateStart(Fleet& fleet, const TaskProgress& stored,
                      const TaskReference& reference, Task& task,
                      Duration hold = {});
/// Does so for a job that has ended. Its ends may not be acknowledged either
/// while an order may start one of its tasks again.
void RestoreLateStartOfEndedJob(Fleet& fleet, const TaskProgress& stored,
                                const JobKey& job);
/// Forgets an inherited late start at the worker that has taken effect.
void ForgetInheritedLateStart(Fleet& fleet, const Worker& worker,
                              const TaskReference& reference);
/// Records what a report shows of the worker's clock.
void RecordClock(Worker& worker, const WorkerReport& report, TimePoint now);
/// Does so for a worker that has restarted and not told its clock yet.
void ResetClock(Worker& worker);
/// Forgets the inherited late starts that can take effect no more, as the
/// worker's clock in its report shows.
void ForgetLateStartsBefore(Fleet& fleet, Worker& worker,
                            const WorkerReport& report, TimePoint now);
/// Forgets the late starts that can take effect no more.
void ForgetLateStarts(Fleet& fleet, TimePoint now);

}  // namespace daisyarch::fleet
