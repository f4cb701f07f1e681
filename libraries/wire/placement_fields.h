#pragma once

#include "decisions/ownership/journal_record.h"
#include "decisions/placement/job.h"
#include "decisions/placement/partition_state.h"
#include "decisions/placement/task.h"
#include "decisions/placement/worker_messages.h"
#include "wire/field_codec.h"

namespace daisyarch {

template <>
struct EnumNames<ClassKind> {
  static constexpr const char* kNames[] = {"request", "batch", "watch"};
};
template <>
struct EnumNames<RepeatPolicy> {
  static constexpr const char* kNames[] = {"allowed", "never"};
};
template <>
struct EnumNames<AttemptOutcome> {
  static constexpr const char* kNames[] = {"finished", "failed", "stopped",
                                           "not_run", "lost"};
};
template <>
struct EnumNames<AttemptStatus> {
  static constexpr const char* kNames[] = {"running", "finished", "failed",
                                           "stopped", "not_run"};
};
template <>
struct EnumNames<TaskState> {
  static constexpr const char* kNames[] = {"queued",    "starting", "running",
                                           "stopping",  "finished", "failed",
                                           "cancelled", "unknown"};
};
template <>
struct VariantKinds<JournalRecord> {
  static constexpr const char* kNames[] = {"accepted", "cancelled", "assigned",
                                           "ended", "claimed"};
};

template <typename Visitor>
void VisitFields(Visitor& visit, Resources& resources) {
  visit("millicores", resources.m_processors);
  visit("mebibytes", resources.m_memory);
  visit("accelerators", resources.m_accelerators);
}

template <typename Visitor>
void VisitFields(Visitor& visit, JobRequest& request) {
  visit("member", request.m_member);
  visit("team", request.m_team);
  visit("class", request.m_class);
  visit("class_kind", request.m_kind);
  visit("key", request.m_key);
  visit("demand", request.m_demand);
  visit("tasks", request.m_task_count);
  visit("run_time_us", request.m_run_time);
  visit("start_within_us", request.m_start_within);
  visit("repeat", request.m_repeat);
  visit("submitted_unix_ms", request.m_submitted_unix_milliseconds);
}

template <typename Visitor>
void VisitFields(Visitor& visit, Job& job) {
  visit("job", job.m_id);
  visit("request", job.m_request);
  visit("is_cancelled", job.m_is_cancelled);
  visit("finished", job.m_finished);
  visit("failed", job.m_failed);
  visit("cancelled", job.m_cancelled);
  visit("unknown", job.m_unknown);
}

// Only the fields that snapshots store; the others are known to the current
// owner only.
template <typename Visitor>
void VisitFields(Visitor& visit, Task& task) {
  visit("task", task.m_id);
  visit("state", task.m_state);
  visit("attempt", task.m_attempt);
  visit("worker", task.m_worker);
  visit("incarnation", task.m_start_incarnation);
  visit("checkpoint", task.m_checkpoint);
  visit("failures", task.m_failures);
}

template <typename Visitor>
void VisitFields(Visitor& visit, JobAccepted& record) {
  visit("job", record.m_job);
  visit("request", record.m_request);
}

template <typename Visitor>
void VisitFields(Visitor& visit, JobCancelled& record) {
  visit("job", record.m_job);
}

template <typename Visitor>
void VisitFields(Visitor& visit, TaskAssigned& record) {
  visit("task", record.m_task);
  visit("attempt", record.m_attempt);
  visit("worker", record.m_worker);
  visit("incarnation", record.m_incarnation);
}

template <typename Visitor>
void VisitFields(Visitor& visit, AttemptEnded& record) {
  visit("task", record.m_task);
  visit("attempt", record.m_attempt);
  visit("end", record.m_outcome);
  visit("checkpoint", record.m_checkpoint);
}

template <typename Visitor>
void VisitFields(Visitor& visit, OwnerClaimed& record) {
  visit("node", record.m_node);
  visit("epoch", record.m_epoch);
}

template <typename Visitor>
void VisitFields(Visitor& visit, JournalBatch& batch) {
  visit("sequence", batch.m_sequence);
  visit("epoch", batch.m_epoch);
  visit("writer", batch.m_writer);
  visit("incarnation", batch.m_incarnation);
  visit("records", batch.m_records);
}

template <typename Visitor>
void VisitFields(Visitor& visit, AttemptId& id) {
  visit("task", id.m_task);
  visit("attempt", id.m_attempt);
}

template <typename Visitor>
void VisitFields(Visitor& visit, StartOrder& order) {
  visit("id", order.m_id);
  visit("class", order.m_class);
  visit("demand", order.m_demand);
  visit("run_time_us", order.m_run_time);
  visit("checkpoint", order.m_checkpoint);
}

template <typename Visitor>
void VisitFields(Visitor& visit, WorkerControl& control) {
  visit("epoch", control.m_epoch);
  visit("incarnation", control.m_incarnation);
  visit("lease_from_ms", control.m_lease_from);
  visit("lease_term_us", control.m_lease_term);
  visit("starts", control.m_starts);
  visit("stops", control.m_stops);
  visit("acknowledged", control.m_acknowledged);
}

template <typename Visitor>
void VisitFields(Visitor& visit, AttemptReport& report) {
  visit("id", report.m_id);
  visit("status", report.m_status);
  visit("checkpoint", report.m_checkpoint);
}

template <typename Visitor>
void VisitFields(Visitor& visit, WorkerReport& report) {
  visit("incarnation", report.m_incarnation);
  visit("epoch", report.m_epoch);
  visit("clock_ms", report.m_clock);
  visit("attempts", report.m_attempts);
}

}  // namespace daisyarch
