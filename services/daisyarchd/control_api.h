#pragma once

#include "configuration_service.h"
#include "gateway.h"
#include "http/http_message.h"
#include "partition_service.h"

namespace daisyarch {

/// What operators and submitters reach over HTTP and JSON.
struct ControlApi {
  Runtime& m_runtime;
  MembershipService& m_membership;
  ConfigurationService& m_configuration;
  PartitionService& m_partitions;
  Gateway& m_gateway;
  std::function<bool()> m_is_ready;
  std::function<void()> m_start_drain;
  std::uint64_t m_next_change_number = 1;
};

/// Paths below this prefix are the system's own; all else is a caller's
/// request.
constexpr const char* kControlPrefix = "/daisyarch/v1/";

/// True for a path that HandleControl answers.
bool IsControlPath(const std::string& target);

/// Answers a control request; `respond` is called exactly once.
void HandleControl(ControlApi& api, const HttpRequest& request,
                   HttpResponder respond);

}  // namespace daisyarch
