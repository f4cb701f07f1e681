#pragma once

#include <string>

#include "base/ids.h"
#include "base/result.h"
#include "base/time.h"
#include "http/address.h"

namespace daisyarch {

/// What a node on the users' platform is told at its start.
struct SiteSettings {
  NodeId m_node;
  FailureDomainId m_failure_domain;
  Address m_client_address;     ///< Submitters and operators' tools.
  Address m_readiness_address;  ///< The balancer's question.
  Address m_metrics_address;
  Address m_store_address;
  std::string m_charts_directory;
  double m_processor_share = 1.0;  ///< Of a core; large nodes lead first.
  Duration m_store_lease_minimum{};
  Duration m_worker_lease_maximum{};
  Duration m_stop_grace_period{};  ///< From SIGTERM to the end.
  Duration m_state_retention{};    ///< How long an ended job is answered for.
  Duration m_maximum_target_overrun{};  ///< How long a serving task may be over
                                        ///< its target.
  Duration m_leaving_grace_period{};    ///< A leaving worker gets nothing new
                                        ///< after this.
  double m_remote_slowdown = 1.0;  ///< How much slower a task is off its rack.
};

/// Reads settings from YAML text. kInvalidArgument with file, line, key and
/// what was expected.
Result<SiteSettings> ParseSiteSettings(const std::string& text,
                                       const std::string& file);

/// The text of a settings file; kNotFound when it cannot be opened.
Result<std::string> ReadSettingsText(const std::string& path);

/// Reads a settings file; kNotFound when it cannot be opened.
Result<SiteSettings> LoadSiteSettings(const std::string& path);

}  // namespace daisyarch
