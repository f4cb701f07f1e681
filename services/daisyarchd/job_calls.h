#pragma once

#include "partition_service.h"

namespace daisyarch {

/// Accepts a job at its home partition, here or at the owner. Answers once
/// the job is durable. kNotRun: certainly not accepted; kOutcomeUnknown: a
/// repeat under the same key tells.
void SubmitJobAnywhere(PartitionService& service, const JobRequest& request,
                       JobAnswer on_answer);
void CancelJobAnywhere(PartitionService& service, JobId job,
                       JobAnswer on_answer);
void FindJobAnywhere(PartitionService& service, JobId job, JobAnswer on_answer);

/// The same, for partitions owned here; kNotOwner otherwise.
void SubmitJobHere(PartitionService& service, const JobRequest& request,
                   JobAnswer on_answer);
void CancelJobHere(PartitionService& service, JobId job, JobAnswer on_answer);
void FindJobHere(PartitionService& service, JobId job, JobAnswer on_answer);

}  // namespace daisyarch
