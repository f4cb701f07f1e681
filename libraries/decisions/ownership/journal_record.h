#pragma once

#include <string>
#include <variant>
#include <vector>

#include "base/task_id.h"
#include "decisions/placement/job.h"

namespace daisyarch {

/// A job is durable and will end exactly once.
struct JobAccepted {
  JobId m_job;
  JobRequest m_request;
};

/// A job's tasks are to end without starting again.
struct JobCancelled {
  JobId m_job;
};

/// An attempt of a task may be on a worker from here on.
struct TaskAssigned {
  TaskId m_task;
  Attempt m_attempt;
  WorkerId m_worker;
  /// The run of the worker that the start is for; another run refuses it.
  Incarnation m_incarnation;
};

/// How an attempt came to its end.
enum class AttemptOutcome {
  kFinished,  ///< The worker reports success.
  kFailed,    ///< The worker reports that the task itself failed.
  kStopped,   ///< The worker confirms the stop, at a checkpoint.
  kNotRun,    ///< The worker confirms that it never started.
  kLost,      ///< The lease has certainly run out; it may have run.
};

/// An attempt of a task is certainly not on a worker any more.
struct AttemptEnded {
  TaskId m_task;
  Attempt m_attempt;
  AttemptOutcome m_outcome = AttemptOutcome::kStopped;
  /// The checkpoint to resume from; 0 starts afresh.
  std::uint64_t m_checkpoint = 0;
};

/// A node took the partition over; fences the journal of the one before.
struct OwnerClaimed {
  NodeId m_node;
  Epoch m_epoch;
};

using JournalRecord = std::variant<JobAccepted, JobCancelled, TaskAssigned,
                                   AttemptEnded, OwnerClaimed>;

/// One value of the journal: what a single compare-and-swap made durable.
struct JournalBatch {
  SequenceNumber m_sequence;
  Epoch m_epoch;
  NodeId m_writer;
  Incarnation m_incarnation;
  std::vector<JournalRecord> m_records;
};

/// True when both were written by the same owner as the same record.
bool IsSameBatch(const JournalBatch& left, const JournalBatch& right);

/// An upper estimate of the record's encoded size in bytes.
std::size_t EstimateSize(const JournalRecord& record);

}  // namespace daisyarch
