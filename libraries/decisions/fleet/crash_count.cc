#include "decisions/fleet/crash_count.h"

namespace daisyarch::fleet {

namespace {

// A task that crashes its worker does so within this time after its start.
constexpr Duration kProofTime = std::chrono::seconds(1);
// A single poll is closed when only its connection is reset.
constexpr std::uint32_t kClosedPollsOfCrash = 2;

void RecordCrash(Fleet& fleet, Worker& worker) {
  // Its runs end with it as planned.
  if (worker.m_listing.m_is_leaving) return;
  fleet.m_events.push_back({"worker_crashed", JobKey(),
                            worker.m_listing.m_worker, RunNumber(),
                            worker.m_poll_sent_at - worker.m_clock_read_at});
  for (const TaskReference& reference : FindUnprovenRuns(fleet, worker)) {
    Job* job = nullptr;
    const Task* task = FindTask(fleet, reference, job);
    fleet.m_events.push_back(
        {"run_crashed", reference.m_job, worker.m_listing.m_worker, task->m_run,
         worker.m_poll_sent_at - task->m_started_at, reference});
  }
}

}  // namespace

bool IsProven(const Worker& worker, const Task& task) {
  return task.m_start_confirmation == StartConfirmation::kConfirmed &&
         worker.m_clock_read_at - task.m_started_at >= kProofTime;
}

std::vector<TaskReference> FindUnprovenRuns(Fleet& fleet,
                                            const Worker& worker) {
  std::vector<TaskReference> unproven;
  for (const TaskReference& reference : worker.m_runs) {
    Job* job = nullptr;
    const Task* task = FindTask(fleet, reference, job);
    if (task == nullptr || IsProven(worker, *task)) continue;
    unproven.push_back(reference);
  }
  return unproven;
}

void RecordPollFailure(Fleet& fleet, Worker& worker, PollFailure failure,
                       TimePoint now) {
  static_cast<void>(now);
  if (failure != PollFailure::kClosed) {
    worker.m_has_unanswered_poll = true;
    return;
  }
  // After a loss of power, the host refuses connections only once it is back.
  if (worker.m_has_unanswered_poll) return;
  if (++worker.m_closed_polls == kClosedPollsOfCrash) {
    RecordCrash(fleet, worker);
  }
}

void RecordAnswer(Fleet&, Worker& worker) {
  worker.m_closed_polls = 0;
  worker.m_has_unanswered_poll = false;
}

}  // namespace daisyarch::fleet
