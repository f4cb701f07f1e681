#pragma once

#include "base/time.h"
#include "decisions/placement/partition_engine.h"
#include "decisions/placement/worker_messages.h"

namespace daisyarch {

/// A worker counts as silent when it has not answered for this long.
constexpr Duration kWorkerSilenceTimeout = std::chrono::seconds(5);

/// A worker counts as lost only after this many messages in a row went
/// unanswered, so that an owner that was paused queries the worker first.
constexpr std::uint32_t kUnansweredMessagesBeforeLapse = 2;

/// A worker as the platform lists it.
struct WorkerListing {
  WorkerId m_worker;
  Resources m_capacity;
  bool m_is_leaving = false;
};

/// Applies the platform's list of the partition's workers. A worker that is no
/// longer listed gets no new tasks; its tasks stay assigned until they end or
/// their leases have expired. Tasks on a leaving worker are stopped at a
/// checkpoint and queued again.
void ApplyListing(PartitionEngine& engine,
                  const PlacementStateMachines& state_machines,
                  const std::vector<WorkerListing>& listing);

/// Builds the next message for a worker: starts whose assignment is durable,
/// stops, and attempts whose outcome the worker may forget. The message renews
/// the leases of all attempts on the worker.
WorkerControl BuildControl(PartitionEngine& engine, const WorkerId& worker,
                           Duration lease_term);

/// Applies a worker's answer and commits the outcomes that it reports. Answers
/// of a worker that has seen a later owner are ignored.
void ApplyReport(PartitionEngine& engine,
                 const PlacementStateMachines& state_machines,
                 const WorkerId& worker, const WorkerReport& report,
                 TimePoint now);

/// Counts a message that the worker did not answer in time.
void RecordUnansweredMessage(PartitionEngine& engine, const WorkerId& worker);

/// Detects workers that are silent and those whose quarantine has ended. Ends
/// the attempts of workers that have been silent for longer than any lease on
/// them can last.
void CheckWorkers(PartitionEngine& engine,
                  const PlacementStateMachines& state_machines,
                  Duration lease_term, TimePoint now);

/// Requests that a task is stopped at a checkpoint and queued again.
void EvictTask(PartitionEngine& engine,
               const PlacementStateMachines& state_machines,
               const TaskId& task);

/// Prepares a state that was recovered from the journal for its new owner: any
/// start may have been sent, and active tasks of cancelled jobs are stopped.
void ResumeOwnership(PartitionEngine& engine,
                     const PlacementStateMachines& state_machines,
                     TimePoint now);

}  // namespace daisyarch
