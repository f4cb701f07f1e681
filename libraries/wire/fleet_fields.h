#pragma once

#include "decisions/fleet/job_progress.h"
#include "decisions/fleet/learned_effects.h"
#include "decisions/fleet/learned_run_times.h"
#include "decisions/fleet/roster.h"
#include "decisions/fleet/start_journal.h"
#include "wire/placement_fields.h"

namespace daisyarch {

template <>
struct EnumNames<fleet::StepKind> {
  static constexpr const char* kNames[] = {"finite", "service"};
};
template <>
struct EnumNames<fleet::ProcessorUse> {
  static constexpr const char* kNames[] = {"reserved", "leftover"};
};
template <>
struct EnumNames<fleet::JobState> {
  static constexpr const char* kNames[] = {"queued", "running", "completed",
                                           "failed", "canceled"};
};

}  // namespace daisyarch

namespace daisyarch::fleet {

template <typename Visitor>
void VisitFields(Visitor& visit, StepPlan& step) {
  visit("tasks", step.m_task_count);
  visit("demand", step.m_demand);
  visit("estimate_us", step.m_estimate);
  visit("after", step.m_after);
  visit("kind", step.m_kind);
  visit("processors", step.m_processor_use);
  visit("saves_progress", step.m_saves_progress);
  visit("gang", step.m_is_gang);
  visit("colocated", step.m_is_colocated);
  visit("copies", step.m_allows_copies);
  visit("required_label", step.m_required_label);
  visit("data_rack", step.m_data_rack);
  visit("maximum_per_worker", step.m_maximum_per_worker);
  visit("image", step.m_image);
  visit("latency_target_us", step.m_latency_target);
  visit("missable", step.m_missable_tasks);
}

template <typename Visitor>
void VisitFields(Visitor& visit, Queue& queue) {
  visit("id", queue.m_id);
  visit("pool", queue.m_pool);
  visit("priority", queue.m_priority);
  visit("maximum_attempts", queue.m_maximum_attempts);
  visit("stretch", queue.m_stretch);
  visit("target_us", queue.m_target);
}

template <typename Visitor>
void VisitFields(Visitor& visit, JobPlan& plan) {
  visit("key", plan.m_key);
  visit("queue", plan.m_queue);
  visit("payload", plan.m_payload);
  visit("steps", plan.m_steps);
  visit("occurrences", plan.m_occurrences);
  visit("timed", plan.m_is_timed);
  visit("first_due_unix_ms", plan.m_first_due_unix_ms);
  visit("interval_ms", plan.m_interval_ms);
  visit("accepted_unix_ms", plan.m_accepted_unix_ms);
}

template <typename Visitor>
void VisitFields(Visitor& visit, TaskProgress& task) {
  visit("step", task.m_step_run);
  visit("index", task.m_index);
  visit("done", task.m_is_done);
  visit("failed_runs", task.m_failed_runs);
  visit.Optional("crashed_runs", task.m_crashed_runs);
  visit.Optional("doubtful_runs", task.m_doubtful_runs);
  visit("run", task.m_run);
  visit("checkpoint", task.m_checkpoint);
  visit.Optional("late_start_until_unix_ms", task.m_late_start_until_unix_ms);
  visit.Optional("late_start_worker", task.m_late_start_worker);
  LateStartClock& clock = task.m_late_start_clock;
  visit.Optional("late_start_incarnation", clock.m_incarnation);
  visit.Optional("late_start_clock_ms", clock.m_until);
  visit.Optional("late_start_restarted_clock_ms", clock.m_until_if_restarted);
  visit.Optional("late_start_term", task.m_late_start_term);
}

template <typename Visitor>
void VisitFields(Visitor& visit, JournaledStart& start) {
  visit("job", start.m_task.m_job);
  visit("occurrence", start.m_task.m_occurrence);
  visit("step", start.m_task.m_step);
  visit("index", start.m_task.m_index);
  visit("run", start.m_run);
  visit("worker", start.m_worker);
  visit("incarnation", start.m_clock.m_incarnation);
  visit("clock_ms", start.m_clock.m_until);
  visit("restarted_clock_ms", start.m_clock.m_until_if_restarted);
  visit("resent", start.m_is_resent);
}

template <typename Visitor>
void VisitFields(Visitor& visit, StartJournal& journal) {
  visit("term", journal.m_term);
  visit("until_unix_ms", journal.m_until_unix_ms);
  visit("starts", journal.m_starts);
}

template <typename Visitor>
void VisitFields(Visitor& visit, Handover& handover) {
  visit("term", handover.m_term);
  visit("unseen_ms", handover.m_inherited_runs_ms);
}

template <typename Visitor>
void VisitFields(Visitor& visit, Estimate& estimate) {
  visit("mean", estimate.m_mean);
  visit("variance", estimate.m_variance);
}

template <typename Visitor>
void VisitFields(Visitor& visit, LearnedPair& pair) {
  visit("serving", pair.m_serving);
  visit("best_effort", pair.m_best_effort);
  visit("effect", pair.m_effect);
}

template <typename Visitor>
void VisitFields(Visitor& visit, LearnedBaseline& baseline) {
  visit("serving", baseline.m_serving);
  visit("headroom", baseline.m_headroom);
}

template <typename Visitor>
void VisitFields(Visitor& visit, LearnedEffects& learned) {
  visit("pairs", learned.m_pairs);
  visit("baselines", learned.m_baselines);
}

template <typename Visitor>
void VisitFields(Visitor& visit, StoredRunTime& stored) {
  visit("queue", stored.m_key.m_queue);
  visit("image", stored.m_key.m_image);
  visit("has_estimate", stored.m_key.m_has_estimate);
  LearnedRunTime& learned = stored.m_learned;
  visit("weight", learned.m_weight);
  visit("origin", learned.m_origin);
  visit("level", learned.m_level);
  visit("slope", learned.m_slope);
  visit("level_variance", learned.m_level_variance);
  visit("slope_variance", learned.m_slope_variance);
  visit("covariance", learned.m_covariance);
  visit("run_variance", learned.m_run_variance);
  visit("mean_ratio", learned.m_mean_ratio);
  visit("mean_square", learned.m_mean_square);
}

template <typename Visitor>
void VisitFields(Visitor& visit, StoredSlowness& stored) {
  visit("worker", stored.m_worker);
  visit("incarnation", stored.m_slowness.m_incarnation);
  visit("mean", stored.m_slowness.m_mean);
  visit("variance", stored.m_slowness.m_variance);
}

template <typename Visitor>
void VisitFields(Visitor& visit, LearnedRunTimes& learned) {
  visit("run_times", learned.m_run_times);
  visit("workers", learned.m_workers);
}

template <typename Visitor>
void VisitFields(Visitor& visit, JobProgress& progress) {
  visit("state", progress.m_state);
  visit("ended_unix_ms", progress.m_ended_unix_ms);
  visit("tasks", progress.m_tasks);
}

}  // namespace daisyarch::fleet
