#pragma once

#include "partition_service.h"
#include "wire/placement_fields.h"

namespace daisyarch {

template <typename Visitor>
void VisitFields(Visitor& visit, JobStatus& status) {
  visit("job", status.m_job);
  visit("queued", status.m_queued);
  visit("active", status.m_active);
}

template <typename Visitor>
void VisitFields(Visitor& visit, WorkerStatus& status) {
  visit("worker", status.m_worker);
  visit("partition", status.m_partition);
  visit("state", status.m_state);
  visit("capacity", status.m_capacity);
  visit("reserved", status.m_reserved);
  visit("tasks", status.m_tasks);
}

}  // namespace daisyarch
