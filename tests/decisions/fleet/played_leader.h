#pragma once

#include <map>
#include <optional>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "decisions/fleet/fleet_fixture.h"
#include "decisions/fleet/past_task.h"
#include "models/fleet_worker_model.h"

namespace daisyarch::fleet {

/// What the workers did with one task, by their own account.
struct TaskFacts {
  bool m_is_finite = true;
  std::uint64_t m_last_start = 0;  ///< Number of the event; 0: none.
  /// The failed and the done runs, with the numbers of the events.
  std::map<RunNumber, std::uint64_t> m_failed;
  std::map<RunNumber, std::uint64_t> m_done;
  /// Those whose ends are acknowledged, by an earlier leader as well. An end
  /// before a lapse of its worker's lease is not among them.
  std::set<RunNumber> m_noted_failed;
  std::set<RunNumber> m_noted_done;
};

/// What is stored of a job.
struct StoredJob {
  JobState m_state = JobState::kQueued;
  bool m_has_ended = false;
  std::map<std::uint32_t, TaskProgress> m_rows;  ///< By the task's index.
};

/// How often messages are lost until 15 s after the first takeover, how late
/// writes are, and how often the leader changes.
struct PlayFaults {
  double m_lost_answer_probability = 0;
  double m_lost_order_probability = 0;
  Duration m_longest_write{};
  /// Later leaders, each of which follows one that could not write for up to
  /// four seconds.
  std::uint64_t m_later_leaders = 0;
};

/// How a run of a gang goes on: its members end together.
struct GangRun {
  TimePoint m_ends_at{};
  RunOutcome m_outcome = RunOutcome::kDone;
};

/// A new leader among workers that an earlier leader has left. It has no copy
/// or address of its own that may change, as its workers refer to it.
struct PlayedLeader {
  explicit PlayedLeader(std::uint64_t seed) : m_random{seed} {}
  PlayedLeader(const PlayedLeader&) = delete;
  PlayedLeader& operator=(const PlayedLeader&) = delete;

  Random m_random;
  FleetFixture m_fixture;
  TimePoint m_begun_at = m_fixture.m_now;
  PlayFaults m_faults;
  std::uint32_t m_attempts = 3;
  std::map<JobKey, PastJob> m_past;
  std::map<WorkerId, FleetWorkerModel> m_workers;
  /// When each worker's first answer may arrive.
  std::map<WorkerId, TimePoint> m_first_answers;
  std::map<WorkerId, PollOrder> m_polls;  ///< Those without an answer.
  std::vector<StartOrder> m_starts;       ///< Those without an answer.
  std::optional<ChangeBatch> m_batch;     ///< The one that is being stored.
  TimePoint m_batch_stored_at{};
  TimePoint m_unwritable_from = TimePoint::max();
  TimePoint m_next_leader_at = TimePoint::max();
  std::uint64_t m_leaders_left = 0;
  std::map<JobKey, StoredJob> m_stored;
  std::map<TaskReference, TaskFacts> m_facts;
  std::map<std::pair<JobKey, RunNumber>, GangRun> m_gang_runs;
  std::uint64_t m_last_event = 0;
  std::string m_events;     ///< For messages.
  std::string m_violation;  ///< The first broken rule, or "".
};

/// Lets the new leader load what is stored of these jobs, and the workers hold
/// what an earlier leader has left there.
void TakeOver(PlayedLeader& play, const std::vector<PastJob>& past);

/// Draws when each worker's first answer to the present leader may arrive.
void DrawFirstAnswers(PlayedLeader& play);

/// Plays until all finite jobs have ended, all lasting tasks run and no end is
/// left to acknowledge, or until a rule is broken. Returns what is wrong, or
/// "".
std::string PlayToEnd(PlayedLeader& play);

}  // namespace daisyarch::fleet
