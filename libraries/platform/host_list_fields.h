#pragma once

#include "platform/platform.h"
#include "wire/placement_fields.h"

namespace daisyarch {

template <typename Visitor>
void VisitFields(Visitor& visit, ListedWorker& worker) {
  visit("worker", worker.m_worker);
  visit("address", worker.m_address);
  visit("failure_domain", worker.m_failure_domain);
  visit("rack", worker.m_rack);
  visit("capacity", worker.m_capacity);
  visit("is_leaving", worker.m_is_leaving);
}

template <typename Visitor>
void VisitFields(Visitor& visit, ListedEndpoint& endpoint) {
  visit("endpoint", endpoint.m_endpoint);
  visit("address", endpoint.m_address);
  visit("failure_domain", endpoint.m_failure_domain);
  visit("slots", endpoint.m_slots);
  visit("is_leaving", endpoint.m_is_leaving);
}

template <typename Visitor>
void VisitFields(Visitor& visit, HostList& hosts) {
  visit("workers", hosts.m_workers);
  visit("endpoints", hosts.m_endpoints);
}

}  // namespace daisyarch
