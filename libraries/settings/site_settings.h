#pragma once

#include <cstddef>
#include <optional>
#include <string>
#include <vector>

#include "base/ids.h"
#include "base/result.h"
#include "base/time.h"
#include "http/address.h"

namespace daisyarch {

/// The settings that a node on the users' platform reads when it starts.
struct SiteSettings {
  NodeId m_node;
  FailureDomainId m_failure_domain;
  Address m_client_address;     ///< For submitters and operators' tools.
  Address m_readiness_address;  ///< For the load balancer's readiness checks.
  Address m_metrics_address;
  /// For the calls of a leader that uses this node as a relay; port 0: none.
  Address m_relay_address;
  Address m_store_address;
  std::string m_charts_directory;
  /// Processor time available to the node, in cores. Nodes with more of it
  /// claim leadership earlier.
  double m_processor_share = 1.0;
  Duration m_store_lease_minimum{};   ///< The store grants no shorter lease.
  Duration m_worker_lease_maximum{};  ///< No worker lease lasts longer.
  Duration m_stop_grace_period{};     ///< From SIGTERM to exit.
  /// How long the state of an ended job can be queried.
  Duration m_state_retention{};
  /// How long the tail latency of a serving task may exceed its target.
  Duration m_maximum_target_overrun{};
  /// How long a worker that announced that it is leaving may get new tasks.
  Duration m_leaving_grace_period{};
  /// How long after its request an evacuation of a failure domain binds every
  /// start. Empty: the platform states no bound, and there are no evacuations.
  std::optional<Duration> m_evacuation_period;
  double m_remote_slowdown = 1.0;  ///< Slowdown of a task outside its rack.
  /// Of the process. What its peers may make it hold follows from these.
  std::size_t m_memory_bytes = 256UL * 1024 * 1024;
  std::size_t m_maximum_descriptors = 4096;
  /// Optional keys whose value is still a placeholder, so the platform has not
  /// filled it in. Their defaults hold.
  std::vector<std::string> m_unfilled_keys;
};

/// Parses settings from YAML text. Fails with kInvalidArgument, file, line, key
/// and what was expected.
Result<SiteSettings> ParseSiteSettings(const std::string& text,
                                       const std::string& file);

/// Returns the text of a settings file; kNotFound if it cannot be opened.
Result<std::string> ReadSettingsText(const std::string& path);

/// Parses a settings file; kNotFound if it cannot be opened.
Result<SiteSettings> LoadSiteSettings(const std::string& path);

}  // namespace daisyarch
