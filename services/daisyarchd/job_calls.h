#pragma once

#include "partition_service.h"

namespace daisyarch {

/// Handle a job at its home partition: on this node, or by a call to the node
/// that owns the partition. SubmitJobToOwner answers once the job is durable.
/// kNotRun: certainly not accepted. kOutcomeUnknown: submitting again with the
/// same key returns the outcome.
void SubmitJobToOwner(PartitionService& service, const JobRequest& request,
                      JobStatusCallback on_answer);
void CancelJobAtOwner(PartitionService& service, JobId job,
                      JobStatusCallback on_answer);
void FindJobAtOwner(PartitionService& service, JobId job,
                    JobStatusCallback on_answer);

/// The same calls for partitions that this node owns; kNotOwner for others.
void SubmitJobLocally(PartitionService& service, const JobRequest& request,
                      JobStatusCallback on_answer);
void CancelJobLocally(PartitionService& service, JobId job,
                      JobStatusCallback on_answer);
void FindJobLocally(PartitionService& service, JobId job,
                    JobStatusCallback on_answer);

}  // namespace daisyarch
