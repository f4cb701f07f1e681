#pragma once

#include "base/time.h"
#include "decisions/placement/partition_engine.h"
#include "decisions/placement/worker_messages.h"

namespace daisyarch {

/// A worker that leaves an exchange unanswered this long is silent.
constexpr Duration kWorkerSilenceTimeout = std::chrono::seconds(5);

/// A worker counts as lost only after this many messages in a row went
/// unanswered: an owner that was paused asks before it judges.
constexpr std::uint32_t kUnansweredMessagesBeforeLapse = 2;

/// What the platform's list says of a worker.
struct WorkerListing {
  WorkerId m_worker;
  Resources m_capacity;
  bool m_is_leaving = false;
};

/// Takes the platform's list of the partition's workers over. A worker that
/// is listed no more takes no new tasks; its leases are waited for. Tasks on
/// a leaving worker are stopped at a checkpoint and move.
void ApplyListing(PartitionEngine& engine, const PlacementMachines& machines,
                  const std::vector<WorkerListing>& listing);

/// The next message for a worker: starts that are durable, stops, and ends
/// that it may forget. Renews the leases of all that it runs.
WorkerControl BuildControl(PartitionEngine& engine, const WorkerId& worker,
                           Duration lease_term);

/// Takes a worker's answer over and commits the ends that it reports.
void ApplyReport(PartitionEngine& engine, const PlacementMachines& machines,
                 const WorkerId& worker, const WorkerReport& report,
                 TimePoint now);

/// A message to the worker was not answered in time.
void RecordUnansweredMessage(PartitionEngine& engine, const WorkerId& worker);

/// Finds workers that are silent, that are so for longer than any lease on
/// them can last, and those whose time aside is over.
void CheckWorkers(PartitionEngine& engine, const PlacementMachines& machines,
                  Duration lease_term, TimePoint now);

/// Asks for a task to be stopped at a checkpoint and queued again.
void EvictTask(PartitionEngine& engine, const PlacementMachines& machines,
               const TaskId& task);

/// Prepares a state that was read back from the journal for its new owner.
void ResumeOwnership(PartitionEngine& engine, const PlacementMachines& machines,
                     TimePoint now);

}  // namespace daisyarch
