#pragma once

#include <string>
#include <variant>
#include <vector>

#include "base/task_id.h"
#include "decisions/placement/job.h"

namespace daisyarch {

/// A job is accepted; each of its tasks ends exactly once.
struct JobAccepted {
  JobId m_job;
  JobRequest m_request;
};

/// A job is cancelled; none of its tasks starts again.
struct JobCancelled {
  JobId m_job;
};

/// From this record on, an attempt of a task may run on a worker.
struct TaskAssigned {
  TaskId m_task;
  Attempt m_attempt;
  WorkerId m_worker;
  /// The incarnation of the worker that the start is for; other incarnations
  /// reject it.
  Incarnation m_incarnation;
};

/// The outcome of an attempt.
enum class AttemptOutcome {
  kFinished,  ///< The worker reported success.
  kFailed,    ///< The worker reported that the task itself failed.
  kStopped,   ///< The worker confirmed that it stopped at a checkpoint.
  kNotRun,    ///< It certainly never started.
  kLost,      ///< May have run; its lease expired or the worker restarted.
};

/// An attempt of a task certainly no longer runs on any worker.
struct AttemptEnded {
  TaskId m_task;
  Attempt m_attempt;
  AttemptOutcome m_outcome = AttemptOutcome::kStopped;
  /// The checkpoint to resume from; 0 is the beginning.
  std::uint64_t m_checkpoint = 0;
};

/// A node took over the partition. The record fences the previous owner's
/// journal writes.
struct OwnerClaimed {
  NodeId m_node;
  Epoch m_epoch;
};

using JournalRecord = std::variant<JobAccepted, JobCancelled, TaskAssigned,
                                   AttemptEnded, OwnerClaimed>;

/// One value of the journal: the records of a single compare-and-swap.
struct JournalBatch {
  SequenceNumber m_sequence;
  Epoch m_epoch;
  NodeId m_writer;
  Incarnation m_incarnation;
  std::vector<JournalRecord> m_records;
};

/// Returns true when both have the same owner, epoch and sequence number.
bool IsSameBatch(const JournalBatch& left, const JournalBatch& right);

/// Returns an upper estimate of the record's encoded size in bytes.
std::size_t EstimateSize(const JournalRecord& record);

}  // namespace daisyarch
