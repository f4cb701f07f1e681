#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "base/ids.h"
#include "base/resources.h"
#include "base/result.h"
#include "base/time.h"

namespace daisyarch::fleet {

/// Whether the tasks of a step end by themselves.
enum class StepKind {
  kFinite,   ///< Each task runs until it is done.
  kService,  ///< Each task runs until the job is cancelled.
};

/// How the tasks of a step get processors.
enum class ProcessorUse {
  kReserved,    ///< Reserved on the worker.
  kBestEffort,  ///< Uses what the other tasks leave idle.
};

/// A step of a job: identical tasks that are released together.
struct StepPlan {
  std::uint32_t m_task_count = 1;
  Resources m_demand;                  ///< Per task.
  Duration m_estimate{};               ///< Declared run time; may be far off.
  std::vector<std::uint32_t> m_after;  ///< Earlier steps that must be done.
  StepKind m_kind = StepKind::kFinite;
  ProcessorUse m_processor_use = ProcessorUse::kReserved;
  bool m_saves_progress = false;
  bool m_is_gang = false;       ///< All tasks run together, or none does.
  bool m_is_colocated = false;  ///< Slow if spread over racks.
  bool m_allows_copies = false;
  std::string m_required_label;
  std::string m_data_rack;
  std::uint32_t m_maximum_per_worker = 0;  ///< 0: no limit.
  ImageId m_image;
  Duration m_latency_target{};  ///< For the tail latency; 0: not serving.
  std::uint32_t m_missable_tasks = 0;
};

/// Settings of a queue: where its tasks run, and their objective.
struct Queue {
  QueueId m_id;
  PoolId m_pool;
  std::int64_t m_priority = 0;  ///< The lowest is placed first.
  std::uint32_t m_maximum_attempts = 1;
  double m_stretch = 1.0;  ///< Factor on the job's critical path.
  Duration m_target{};     ///< Added to the stretched critical path.
};

/// A job as submitted.
struct JobPlan {
  JobKey m_key;
  /// The queue's settings at acceptance, which apply if the queue no longer
  /// exists.
  Queue m_queue;
  std::string m_payload;  ///< Passed to each task unchanged.
  std::vector<StepPlan> m_steps;
  std::uint32_t m_occurrences = 1;
  bool m_is_timed = false;
  std::int64_t m_first_due_unix_ms = 0;
  std::int64_t m_interval_ms = 0;
  std::int64_t m_accepted_unix_ms = 0;
};

constexpr std::size_t kMaximumPayloadBytes = 4000;
constexpr std::uint32_t kMaximumSteps = 1000;
/// Over all steps and occurrences; bounds a leader's memory per job.
constexpr std::uint64_t kMaximumTasks = 200000;

/// Fails with kInvalidArgument if the plan is invalid.
Result<void> CheckPlan(const JobPlan& plan);

/// The order of a plan's steps, computed once for a job.
struct StepGraph {
  /// The steps that wait for each step, ordered by the latter. Those that wait
  /// for step S have the indexes from m_successors_begin[S] on, up to
  /// m_successors_begin[S + 1].
  std::vector<std::uint32_t> m_successors;
  std::vector<std::size_t> m_successors_begin;
  /// The length of the critical path from each step to the job's end, by the
  /// steps' estimates.
  std::vector<Duration> m_remaining_paths;
};

StepGraph MakeStepGraph(const JobPlan& plan);

/// Returns the length of the job's critical path.
Duration CriticalPath(const StepGraph& graph);

}  // namespace daisyarch::fleet
