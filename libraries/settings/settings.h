#pragma once

#include <string>
#include <vector>

#include "base/ids.h"
#include "base/result.h"
#include "base/time.h"
#include "http/address.h"

namespace daisyarch {

/// The settings that a daemon reads when it starts.
struct Settings {
  NodeId m_node;
  FailureDomainId m_failure_domain;
  Address m_http_address;
  Address m_mesh_address;
  Address m_platform_address;
  /// Mesh addresses of the nodes from which the configuration is requested
  /// while the store is unavailable.
  std::vector<Address> m_peers;
  std::string m_charts_directory;
  /// The failure domains that contain workers; the same list on every node.
  std::vector<FailureDomainId> m_failure_domains;
  std::int64_t m_partitions_per_failure_domain = 1;
  Duration m_node_lease{};
  Duration m_worker_lease{};
  Duration m_worker_poll_interval{};
  Duration m_drain_timeout{};
};

/// Parses settings from YAML text. Fails with kInvalidArgument, file, line, key
/// and what was expected, for an unknown, duplicate or missing key, a wrong
/// type or unit, or a value out of range.
Result<Settings> ParseSettings(const std::string& text,
                               const std::string& file);

/// Parses a settings file; kNotFound if the file cannot be opened.
Result<Settings> LoadSettings(const std::string& path);

/// Returns the partitions of every failure domain, in the order of the
/// settings.
std::vector<PartitionId> PartitionsOf(const Settings& settings);

/// Returns the partition of a worker: one of its failure domain's partitions,
/// chosen by a hash of the rack.
PartitionId PartitionOf(const Settings& settings,
                        const FailureDomainId& failure_domain,
                        const std::string& rack);

}  // namespace daisyarch
