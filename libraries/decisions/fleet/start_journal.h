#pragma once

#include <cstddef>
#include <cstdint>
#include <map>
#include <vector>

#include "decisions/fleet/fleet.h"
#include "decisions/fleet/late_start.h"

// A start may take effect seconds after its leader has ended, and also at the
// worker's next incarnation, which has seen no fencing token. So each start is
// stored in the start journal before it leaves, and stays there until its
// outcome is known or stored with its job's progress.

namespace daisyarch::fleet {

/// Counts the batches of changes that one leader has begun to store.
using BatchNumber = StrongId<struct BatchNumberTag, std::uint64_t>;

/// The journal names at most this many starts, so that its value can be written
/// in time on a slow link.
constexpr std::size_t kMaximumJournaledStarts = 1024;

/// A start of the journal.
struct JournaledStart {
  TaskReference m_task;
  RunNumber m_run;
  WorkerId m_worker;
  LateStartClock m_clock;  ///< Of that worker.
  /// An earlier order may start the same run.
  bool m_is_resent = false;
};

/// The journal as it is stored.
struct StartJournal {
  Term m_term;  ///< Of the leader that wrote it.
  /// By then none of its starts can take effect any more.
  std::int64_t m_until_unix_ms = 0;
  std::vector<JournaledStart> m_starts;
};

/// A start that the leader's next journal has to name.
struct OpenStart {
  RunNumber m_run;
  WorkerId m_worker;
  bool m_is_resent = false;
  bool m_is_named = false;     ///< By the journal.
  std::uint32_t m_orders = 0;  ///< That have no outcome yet.
  /// The batch that stores what is known of an order without an answer; 0: all
  /// orders were answered.
  BatchNumber m_batch;
};

/// The leader's starts whose outcomes the store does not tell yet.
struct OpenStarts {
  std::map<TaskReference, OpenStart> m_starts;
  /// The stored journal names starts that are no longer open.
  bool m_is_journal_outdated = false;
};

/// Adds a start that waits for the journal.
void AddOpenStart(OpenStarts& open, const StartOrder& order);
/// Lets the next journals name the first of the waiting starts, as many as it
/// can; returns their number.
std::size_t NameWaitingStarts(OpenStarts& open,
                              const std::vector<StartOrder>& waiting);
/// Records the outcome of an order. `next` is the batch that will store what it
/// has changed.
void RecordOpenStartOutcome(OpenStarts& open, const StartOrder& order,
                            StartOutcome outcome, BatchNumber next);
/// Records that all batches up to `stored` are stored.
void ForgetStoredStarts(OpenStarts& open, BatchNumber stored);

/// Returns the journal to be stored at `now`.
StartJournal JournalOf(Fleet& fleet, const OpenStarts& open, TimePoint now);

/// Returns whether a start that was decided on earlier may still leave: neither
/// its task nor its worker has changed since.
bool IsStartCurrent(Fleet& fleet, const StartOrder& order, TimePoint now);

/// Takes over the journal of an earlier leader, once jobs and roster are
/// loaded: each of its starts counts as one without an answer. Returns whether
/// there was any that the jobs' progress does not tell of; the journal must not
/// be replaced before it is stored there.
bool RestoreJournal(Fleet& fleet, const StartJournal& journal);

/// Records that a report of its worker shows the task's run. The only order to
/// start it has then taken effect and can do so no more.
void ConfirmJournaledStart(Fleet& fleet, Worker& worker, Job& job, Task& task,
                           const TaskReference& reference);

}  // namespace daisyarch::fleet
