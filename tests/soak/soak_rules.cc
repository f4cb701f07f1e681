#include "soak_rules.h"

#include <algorithm>
#include <map>
#include <optional>
#include <set>

namespace daisyarch::soak {

namespace {

// A task of a cancelled job may start this long after the acknowledgement.
constexpr Duration kCancelBound = std::chrono::seconds(3);
// And any task after its job was shown as completed.
constexpr Duration kCompletedBound = std::chrono::seconds(1);

struct Check {
  const Record& m_record;
  const SoakTraffic& m_traffic;
  std::map<std::string, const SoakJob*> m_jobs;
  std::vector<BrokenRule> m_broken;
};

void Break(Check& check, const char* rule, const std::string& task,
           const std::string& detail) {
  check.m_broken.push_back({rule, detail, task});
}

std::string JobIdOf(const std::string& task) {
  return task.substr(0, task.find('.'));
}

std::uint32_t StepOf(const std::string& task) {
  const auto end = task.rfind('.');
  const auto begin = task.rfind('.', end - 1) + 1;
  return static_cast<std::uint32_t>(
      std::stoul(task.substr(begin, end - begin)));
}

// Returns when the task first ended done.
std::optional<TimePoint> DoneAt(const Record& record, const std::string& task) {
  const auto lines = record.m_of_task.find(task);
  if (lines == record.m_of_task.end()) return std::nullopt;
  for (const std::size_t index : lines->second) {
    const RecordLine& line = record.m_lines[index];
    if (line.m_event == "end" && line.m_outcome == "done") return line.m_at;
  }
  return std::nullopt;
}

// Returns when the last task of the step ended done, if all have. The end of
// one member of a gang stands for all of them.
std::optional<TimePoint> StepDoneAt(const Record& record, const SiteJob& job,
                                    std::uint32_t step) {
  const bool is_gang = job.m_steps[step].m_script.m_gang_size > 0;
  std::optional<TimePoint> first;
  std::optional<TimePoint> last;
  for (std::uint32_t index = 0; index < job.m_steps[step].m_task_count;
       ++index) {
    const auto done = DoneAt(record, TaskNameOf(job, step, index));
    if (!done && !is_gang) return std::nullopt;
    if (!done) continue;
    first = std::min(first.value_or(*done), *done);
    last = std::max(last.value_or(*done), *done);
  }
  return is_gang ? first : last;
}

// TWICE, BUDGET: the order of the starts and ends of one task.
void CheckTask(Check& check, const std::string& task,
               const std::vector<std::size_t>& lines, const SoakJob& job) {
  bool is_done = false;
  std::uint32_t failures = 0;
  for (const std::size_t index : lines) {
    const RecordLine& line = check.m_record.m_lines[index];
    if (line.m_event == "end" && line.m_is_noted) {
      is_done = is_done || line.m_outcome == "done";
      if (line.m_outcome == "failed") ++failures;
    }
    if (line.m_event != "start") continue;
    if (is_done) Break(check, "TWICE", task, "a start after a done run");
    if (!job.m_is_lasting && failures >= AttemptsOf(job.m_job)) {
      Break(check, "BUDGET", task, "a start after the last allowed failure");
    }
    if (line.m_at - kCompletedBound > job.m_completed_at) {
      Break(check, "TWICE", task, "a start after the job was completed");
    }
  }
}

// TWICE: two runs of a task at the same time on workers that are up.
void CheckOverlaps(Check& check) {
  std::map<std::string, std::set<std::string>> workers_of;
  for (const RecordLine& line : check.m_record.m_lines) {
    if (line.m_event == "gone") {
      for (auto& [task, workers] : workers_of) workers.erase(line.m_worker);
    }
    if (line.m_event == "end") workers_of[line.m_task].erase(line.m_worker);
    if (line.m_event != "start") continue;
    std::set<std::string>& workers = workers_of[line.m_task];
    if (!workers.empty()) {
      Break(check, "TWICE", line.m_task,
            "runs on " + *workers.begin() + " and " + line.m_worker);
    }
    workers.insert(line.m_worker);
  }
}

// UNASKED, REFUSED, ORDER: what one start must not be.
void CheckStart(Check& check, const RecordLine& line, const SoakJob& job) {
  if (line.m_payload != PayloadOf(job.m_job)) {
    Break(check, "UNASKED", line.m_task, "another payload");
  }
  if (job.m_is_rejected)
    Break(check, "REFUSED", line.m_task, "it was rejected");
  if (line.m_at - kCancelBound > job.m_canceled_at) {
    Break(check, "UNASKED", line.m_task, "its job was cancelled");
  }
  const std::uint32_t step = StepOf(line.m_task);
  if (!job.m_job.m_steps[step].m_is_after_previous) return;
  const auto done = StepDoneAt(check.m_record, job.m_job, step - 1);
  if (!done || *done > line.m_at) {
    Break(check, "ORDER", line.m_task, "the step before is not done");
  }
}

bool HasUsedUpAttempts(const Record& record, const SoakJob& job) {
  for (std::uint32_t step = 0; step < job.m_job.m_steps.size(); ++step) {
    const SiteStep& plan = job.m_job.m_steps[step];
    std::set<std::uint64_t> gang_failures;
    for (std::uint32_t index = 0; index < plan.m_task_count; ++index) {
      const auto lines =
          record.m_of_task.find(TaskNameOf(job.m_job, step, index));
      if (lines == record.m_of_task.end()) continue;
      std::set<std::uint64_t> failures;
      for (const std::size_t number : lines->second) {
        const RecordLine& line = record.m_lines[number];
        if (line.m_event != "end" || line.m_outcome != "failed") continue;
        failures.insert(line.m_run);
        gang_failures.insert(line.m_run);
      }
      if (failures.size() >= AttemptsOf(job.m_job)) return true;
    }
    if (plan.m_script.m_gang_size > 0 &&
        gang_failures.size() >= AttemptsOf(job.m_job)) {
      return true;
    }
  }
  return false;
}

// LOST, MIXED: what the callers were shown.
void CheckJob(Check& check, const SoakJob& job) {
  const std::string& id = job.m_job.m_id;
  if (!job.m_is_accepted) return;
  if (job.m_is_lost) Break(check, "LOST", id, "it is not known any more");
  if (job.m_failed_at != TimePoint::max() &&
      !HasUsedUpAttempts(check.m_record, job)) {
    Break(check, "LOST", id, "shown as " + job.m_state + " without cause");
  }
  if (!job.m_is_lasting && !HasEnded(job)) {
    Break(check, "LOST", id, "it has not ended; shown as " + job.m_state);
  }
  if (job.m_is_lasting && job.m_canceled_at == TimePoint::max()) {
    Break(check, "LOST", id, "a task that lasts does not run");
  }
  if (job.m_completed_at == TimePoint::max()) return;
  for (std::uint32_t step = 0; step < job.m_job.m_steps.size(); ++step) {
    const auto done = StepDoneAt(check.m_record, job.m_job, step);
    if (!done || *done > job.m_completed_at) {
      Break(check, "MIXED", id, "completed before its tasks were done");
    }
  }
}

}  // namespace

std::vector<BrokenRule> CheckRules(const Record& record,
                                   const SoakTraffic& traffic) {
  Check check{record, traffic, {}, {}};
  for (const SoakJob& job : traffic.m_jobs) {
    check.m_jobs[job.m_job.m_id] = &job;
  }
  for (const auto& [task, lines] : record.m_of_task) {
    const auto job = check.m_jobs.find(JobIdOf(task));
    if (job == check.m_jobs.end()) {
      Break(check, "UNASKED", task, "nobody submitted it");
      continue;
    }
    CheckTask(check, task, lines, *job->second);
    for (const std::size_t index : lines) {
      const RecordLine& line = record.m_lines[index];
      if (line.m_event == "start") CheckStart(check, line, *job->second);
    }
  }
  CheckOverlaps(check);
  for (const SoakJob& job : traffic.m_jobs) CheckJob(check, job);
  return check.m_broken;
}

bool IsRunning(const Record& record, const SoakJob& job) {
  std::map<std::string, std::string> worker_of;
  for (const RecordLine& line : record.m_lines) {
    if (line.m_event == "start") worker_of[line.m_task] = line.m_worker;
    if (line.m_event == "end") worker_of.erase(line.m_task);
    if (line.m_event != "gone") continue;
    for (auto& [task, worker] : worker_of) {
      if (worker == line.m_worker) worker.clear();
    }
  }
  for (std::uint32_t index = 0; index < job.m_job.m_steps[0].m_task_count;
       ++index) {
    const auto found = worker_of.find(TaskNameOf(job.m_job, 0, index));
    if (found == worker_of.end() || found->second.empty()) return false;
  }
  return true;
}

}  // namespace daisyarch::soak
