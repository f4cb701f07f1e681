#pragma once

#include <cstdint>
#include <string>

#include "base/strong_id.h"

namespace daisyarch {

/// A machine that runs tasks.
using WorkerId = StrongId<struct WorkerIdTag, std::string>;
/// A process that serves latency-critical requests; its slots limit how many
/// it serves at the same time.
using EndpointId = StrongId<struct EndpointIdTag, std::string>;
/// A daemon of the scheduler.
using NodeId = StrongId<struct NodeIdTag, std::string>;
/// The party to which a request or a job is accounted.
using MemberId = StrongId<struct MemberIdTag, std::string>;
/// A group of members that shares a quota.
using TeamId = StrongId<struct TeamIdTag, std::string>;
/// A class of work that shares one target.
using ClassId = StrongId<struct ClassIdTag, std::string>;
/// A set of hosts that can fail together.
using FailureDomainId = StrongId<struct FailureDomainIdTag, std::string>;
/// A group of workers whose tasks are placed by one node, its owner.
using PartitionId = StrongId<struct PartitionIdTag, std::string>;
/// Makes a submission or a request idempotent: a repeat under the same key has
/// no further effect.
using IdempotencyKey = StrongId<struct IdempotencyKeyTag, std::string>;

/// A batch job; derived from its member and its idempotency key.
using JobId = StrongId<struct JobIdTag, std::uint64_t>;
/// A request within one node.
using RequestId = StrongId<struct RequestIdTag, std::uint64_t>;
/// Counts the successive owners of a partition.
using Epoch = StrongId<struct EpochTag, std::uint64_t>;
/// Counts the records of a partition's journal.
using SequenceNumber = StrongId<struct SequenceNumberTag, std::uint64_t>;
/// Counts the changes of one store key; 0 means that the key is absent.
using StoreVersion = StrongId<struct StoreVersionTag, std::uint64_t>;
/// Counts the accepted configurations.
using ConfigurationVersion =
    StrongId<struct ConfigurationVersionTag, std::uint64_t>;
/// Distinguishes successive lives of one node or worker process; a later
/// incarnation has a greater number.
using Incarnation = StrongId<struct IncarnationTag, std::uint64_t>;
/// Counts the starts of one task.
using Attempt = StrongId<struct AttemptTag, std::uint64_t>;
/// A lease of the store.
using StoreLeaseId = StrongId<struct StoreLeaseIdTag, std::uint64_t>;

/// A job of several steps, under the key that its submitter chose.
using JobKey = StrongId<struct JobKeyTag, std::string>;
/// Numbers the parts in which a job's progress is stored, from 0.
using ProgressPart = StrongId<struct ProgressPartTag, std::uint64_t>;
/// Numbers the blocks of tasks of one step run, from 0.
using TaskBlock = StrongId<struct TaskBlockTag, std::uint32_t>;
/// Numbers the tasks of a job over all its occurrences and steps, from 0.
using TaskNumber = StrongId<struct TaskNumberTag, std::uint64_t>;
/// A queue of jobs that share a target.
using QueueId = StrongId<struct QueueIdTag, std::string>;
/// A group of workers that serve the same queues.
using PoolId = StrongId<struct PoolIdTag, std::string>;
/// The program image that the tasks of a step run. Tasks of one image are taken
/// to behave alike.
using ImageId = StrongId<struct ImageIdTag, std::string>;
/// Counts the starts of one task of a step; 0 before the first.
using RunNumber = StrongId<struct RunNumberTag, std::uint64_t>;
/// Sent with each order to a worker, which rejects an order whose token is
/// lower than the highest it has received.
using FencingToken = StrongId<struct FencingTokenTag, std::uint64_t>;
/// Numbers the run outcomes that one incarnation of a worker reports.
using OutcomeNumber = StrongId<struct OutcomeNumberTag, std::uint64_t>;
/// Counts the changes of the whole store.
using StoreRevision = StrongId<struct StoreRevisionTag, std::uint64_t>;
/// Counts the successive leaders of a fleet.
using Term = StrongId<struct TermTag, std::uint64_t>;
/// Counts the sessions that one leader opens with relays.
using RelaySessionNumber =
    StrongId<struct RelaySessionNumberTag, std::uint64_t>;
/// Numbers the orders that one leader sends through relays.
using OrderNumber = StrongId<struct OrderNumberTag, std::uint64_t>;

}  // namespace daisyarch
