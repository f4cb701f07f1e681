#pragma once

#include <string>
#include <vector>

#include "base/ids.h"
#include "base/result.h"
#include "base/time.h"
#include "http/address.h"

namespace daisyarch {

/// What one daemon is told at its start.
struct Settings {
  NodeId m_node;
  FailureDomainId m_failure_domain;
  Address m_http_address;
  Address m_mesh_address;
  Address m_platform_address;
  /// Mesh addresses to ask for the configuration while the store is down.
  std::vector<Address> m_peers;
  std::string m_charts_directory;
  /// The failure domains that hold workers, the same on every node.
  std::vector<FailureDomainId> m_failure_domains;
  std::int64_t m_partitions_per_failure_domain = 1;
  Duration m_node_lease{};
  Duration m_worker_lease{};
  Duration m_worker_poll_interval{};
  Duration m_drain_timeout{};
};

/// Reads settings from YAML text. kInvalidArgument with file, line, key and
/// what was expected, for an unknown or duplicate key, a wrong type or unit,
/// a value out of range, and a missing address or failure domain.
Result<Settings> ParseSettings(const std::string& text,
                               const std::string& file);

/// Reads a settings file; kNotFound when it cannot be opened.
Result<Settings> LoadSettings(const std::string& path);

/// The partitions that the settings make, in order.
std::vector<PartitionId> PartitionsOf(const Settings& settings);

/// The partition of a worker: its failure domain, and a part by its rack.
PartitionId PartitionOf(const Settings& settings,
                        const FailureDomainId& failure_domain,
                        const std::string& rack);

}  // namespace daisyarch
