#pragma once

#include "configuration_service.h"
#include "gateway.h"
#include "http/http_message.h"
#include "partition_service.h"

namespace daisyarch {

/// The HTTP and JSON interface for operators and job submitters.
struct ControlApi {
  Runtime& m_runtime;
  MembershipService& m_membership;
  ConfigurationService& m_configuration;
  PartitionService& m_partitions;
  Gateway& m_gateway;
  std::function<bool()> m_is_ready;
  std::function<void()> m_start_drain;
  std::uint64_t m_next_change_number = 1;  ///< Part of a change's id.
};

/// Paths with this prefix belong to the control interface, as do the health
/// and metrics paths; every other path is a client's request to an endpoint.
constexpr const char* kControlPrefix = "/daisyarch/v1/";

/// Returns whether HandleControl answers this path.
bool IsControlPath(const std::string& target);

/// Answers a control request; `respond` is called exactly once.
void HandleControl(ControlApi& api, const HttpRequest& request,
                   HttpResponder respond);

}  // namespace daisyarch
