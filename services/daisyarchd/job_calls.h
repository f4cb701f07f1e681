#pragma once

#include "partition_service.h"

namespace daisyarch {

/// Accepts a job at its home partition, here or at the owner. Answers once
/// the job is durable. kNotRun: certainly not accepted; kOutcomeUnknown: a
/// repeat under the same key tells.
void SubmitJobToOwner(PartitionService& service, const JobRequest& request,
                      JobAnswer on_answer);
void CancelJobAtOwner(PartitionService& service, JobId job,
                      JobAnswer on_answer);
void FindJobAtOwner(PartitionService& service, JobId job, JobAnswer on_answer);

/// The same, for partitions owned here; kNotOwner otherwise.
void SubmitJobLocally(PartitionService& service, const JobRequest& request,
                      JobAnswer on_answer);
void CancelJobLocally(PartitionService& service, JobId job,
                      JobAnswer on_answer);
void FindJobLocally(PartitionService& service, JobId job, JobAnswer on_answer);

}  // namespace daisyarch
