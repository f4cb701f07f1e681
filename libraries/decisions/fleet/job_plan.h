#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "base/ids.h"
#include "base/resources.h"
#include "base/result.h"
#include "base/time.h"

namespace daisyarch::fleet {

/// How the tasks of a step end.
enum class StepKind {
  kFinite,   ///< Each task runs until it is done.
  kService,  ///< Each task runs until the job is cancelled.
};

/// A step's claim on processors.
enum class ProcessorUse {
  kReserved,    ///< Counted against the worker's room.
  kBestEffort,  ///< Takes what the other tasks leave.
};

/// Equal tasks that become ready together.
struct StepPlan {
  std::uint32_t m_task_count = 1;
  Resources m_demand;                  ///< Of each task.
  Duration m_estimate{};               ///< As declared; far off at times.
  std::vector<std::uint32_t> m_after;  ///< Earlier steps that end first.
  StepKind m_kind = StepKind::kFinite;
  ProcessorUse m_processor_use = ProcessorUse::kReserved;
  bool m_saves_progress = false;
  bool m_is_gang = false;       ///< All tasks run at once or none does.
  bool m_is_colocated = false;  ///< Slow when spread over racks.
  bool m_allows_copies = false;
  std::string m_required_label;
  std::string m_data_rack;
  std::uint32_t m_maximum_per_worker = 0;  ///< 0: no limit.
  ImageId m_image;
  Duration m_latency_target{};  ///< Of a serving task's tail; 0: none.
  std::uint32_t m_missable_tasks = 0;
};

/// What a queue promises, and where its tasks may run.
struct Queue {
  QueueId m_id;
  PoolId m_pool;
  std::int64_t m_priority = 0;  ///< 0 comes first.
  std::uint32_t m_maximum_attempts = 1;
  double m_stretch = 1.0;  ///< The objective, in lengths of the job's chain.
  Duration m_target{};     ///< Added to the stretched chain.
};

/// What a submitter hands in.
struct JobPlan {
  JobKey m_key;
  /// The queue's terms at acceptance; they hold once it is dropped.
  Queue m_queue;
  std::string m_payload;  ///< Passed to each task unread.
  std::vector<StepPlan> m_steps;
  std::uint32_t m_occurrences = 1;
  bool m_is_timed = false;
  std::int64_t m_first_due_unix_ms = 0;
  std::int64_t m_interval_ms = 0;
  std::int64_t m_accepted_unix_ms = 0;
};

constexpr std::size_t kMaximumPayloadBytes = 4000;
constexpr std::uint32_t kMaximumSteps = 1000;
/// Over all steps and occurrences; bounds a leader's memory for one job.
constexpr std::uint64_t kMaximumTasks = 200000;

/// kInvalidArgument with the step and what is wrong with it.
Result<void> CheckPlan(const JobPlan& plan);

/// The longest chain of estimates from `step` to the end of the job.
Duration RemainingCriticalPath(const JobPlan& plan, std::size_t step);

/// The longest chain of estimates of the whole job.
Duration CriticalPath(const JobPlan& plan);

}  // namespace daisyarch::fleet
