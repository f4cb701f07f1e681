#pragma once

#include <cstdint>
#include <string>

#include "base/strong_id.h"

namespace daisyarch {

/// A machine that runs tasks.
using WorkerId = StrongId<struct WorkerIdTag, std::string>;
/// A process that answers latency-critical requests in a few slots.
using EndpointId = StrongId<struct EndpointIdTag, std::string>;
/// A daemon of this system.
using NodeId = StrongId<struct NodeIdTag, std::string>;
/// The party that a request or a job counts for.
using MemberId = StrongId<struct MemberIdTag, std::string>;
/// A group of members that shares a quota.
using TeamId = StrongId<struct TeamIdTag, std::string>;
/// A class of work with one target.
using ClassId = StrongId<struct ClassIdTag, std::string>;
/// A set of hosts that can fail together.
using FailureDomainId = StrongId<struct FailureDomainIdTag, std::string>;
/// A group of workers that one node places on.
using PartitionId = StrongId<struct PartitionIdTag, std::string>;
/// The key under which a submission or a request is idempotent.
using IdempotencyKey = StrongId<struct IdempotencyKeyTag, std::string>;

/// A batch job; derived from its member and idempotency key.
using JobId = StrongId<struct JobIdTag, std::uint64_t>;
/// A request inside one node.
using RequestId = StrongId<struct RequestIdTag, std::uint64_t>;
/// Counts the owners that a partition has had.
using Epoch = StrongId<struct EpochTag, std::uint64_t>;
/// Counts the records of a partition's journal.
using SequenceNumber = StrongId<struct SequenceNumberTag, std::uint64_t>;
/// Counts the changes of one key of the store; 0 means absent.
using StoreVersion = StrongId<struct StoreVersionTag, std::uint64_t>;
/// Counts the accepted configurations.
using ConfigurationVersion =
    StrongId<struct ConfigurationVersionTag, std::uint64_t>;
/// Tells the runs of one process apart; greater means later.
using Incarnation = StrongId<struct IncarnationTag, std::uint64_t>;
/// Counts the starts of one task.
using Attempt = StrongId<struct AttemptTag, std::uint64_t>;
/// A lease of the store.
using StoreLeaseId = StrongId<struct StoreLeaseIdTag, std::uint64_t>;

/// A job of steps, as its submitter names it.
using JobKey = StrongId<struct JobKeyTag, std::string>;
/// A queue of jobs that share a target.
using QueueId = StrongId<struct QueueIdTag, std::string>;
/// A group of workers that serves the same queues.
using PoolId = StrongId<struct PoolIdTag, std::string>;
/// What the tasks of a step run; tasks of one image behave alike.
using ImageId = StrongId<struct ImageIdTag, std::string>;
/// Counts the starts of one task of a step; 0 before the first.
using RunNumber = StrongId<struct RunNumberTag, std::uint64_t>;
/// A worker refuses orders under a token below the highest it has seen.
using FencingToken = StrongId<struct FencingTokenTag, std::uint64_t>;
/// Numbers the ends that one incarnation of a worker reports.
using OutcomeNumber = StrongId<struct OutcomeNumberTag, std::uint64_t>;
/// Counts the changes of the whole store.
using StoreRevision = StrongId<struct StoreRevisionTag, std::uint64_t>;
/// Counts the leaders that a fleet has had.
using Term = StrongId<struct TermTag, std::uint64_t>;

}  // namespace daisyarch
