#include "settings/settings.h"

#include <yaml-cpp/yaml.h>

#include <algorithm>
#include <fstream>
#include <set>
#include <sstream>

#include "base/stable_hash.h"

namespace daisyarch {

namespace {

constexpr std::size_t kMaximumNameLength = 64;
constexpr std::int64_t kMaximumPartitionsPerFailureDomain = 64;

struct DurationRange {
  std::int64_t m_minimum_milliseconds;
  std::int64_t m_maximum_milliseconds;
  std::int64_t m_default_milliseconds;
};

constexpr DurationRange kNodeLeaseRange{2000, 60000, 10000};
constexpr DurationRange kWorkerLeaseRange{2000, 120000, 30000};
constexpr DurationRange kPollIntervalRange{50, 10000, 1000};
constexpr DurationRange kDrainTimeoutRange{1000, 600000, 60000};

class SettingsReader {
 public:
  explicit SettingsReader(std::string file) : m_file(std::move(file)) {}

  Result<Settings> Run(const YAML::Node& root) {
    TRY(CheckKeys(root, "",
                  {"node", "listen", "platform", "peers", "charts", "workers",
                   "timing"}));
    Settings settings;
    TRY(ReadNode(root, settings));
    TRY(ReadAddresses(root, settings));
    TRY(ReadPeers(root, settings));
    TRY(ReadCharts(root, settings));
    TRY(ReadWorkers(root, settings));
    TRY(ReadTiming(root, settings));
    return settings;
  }

 private:
  Error Fail(const YAML::Node& node, const std::string& key,
             const std::string& detail) const {
    return Error{ErrorCode::kInvalidArgument, "check settings",
                 m_file + ":" + std::to_string(node.Mark().line + 1),
                 key + ": " + detail};
  }

  Result<void> CheckKeys(const YAML::Node& node, const std::string& key,
                         const std::set<std::string>& allowed_keys) const {
    if (!node.IsMap()) {
      return Fail(node, key.empty() ? "file" : key, "expected a map");
    }
    std::set<std::string> seen;
    for (const auto& entry : node) {
      const std::string name = entry.first.Scalar();
      const std::string path = key.empty() ? name : key + "." + name;
      if (allowed_keys.count(name) == 0) {
        return Fail(entry.first, path, "unknown key");
      }
      if (!seen.insert(name).second) {
        return Fail(entry.first, path, "duplicate key");
      }
    }
    return Success();
  }

  Result<YAML::Node> ReadSection(
      const YAML::Node& root, const std::string& name,
      const std::set<std::string>& allowed_keys) const {
    const YAML::Node section = root[name];
    if (!section) return Fail(root, name, "missing required key");
    TRY(CheckKeys(section, name, allowed_keys));
    return section;
  }

  Result<std::string> ReadName(const YAML::Node& section,
                               const std::string& path,
                               const std::string& key) const {
    const YAML::Node node = section[key];
    const std::string full_key = path + "." + key;
    if (!node) return Fail(section, full_key, "missing required key");
    return ParseName(node, full_key);
  }

  Result<std::string> ParseName(const YAML::Node& node,
                                const std::string& key) const {
    const std::string allowed =
        "abcdefghijklmnopqrstuvwxyzABCDEFGHIJKLMNOPQRSTUVWXYZ0123456789-_";
    if (!node.IsScalar() || node.Scalar().empty() ||
        node.Scalar().size() > kMaximumNameLength ||
        node.Scalar().find_first_not_of(allowed) != std::string::npos) {
      return Fail(node, key,
                  "expected a name of at most 64 letters, digits, - and _");
    }
    return node.Scalar();
  }

  Result<Address> ReadAddress(const YAML::Node& section,
                              const std::string& path,
                              const std::string& key) const {
    const YAML::Node node = section[key];
    const std::string full_key = path + "." + key;
    if (!node)
      return Fail(section, full_key, "missing required key; expected IP:port");
    if (!node.IsScalar()) return Fail(node, full_key, "expected IP:port");
    auto address = ParseAddress(node.Scalar());
    if (!address) return Fail(node, full_key, "expected IP:port");
    return address;
  }

  Result<void> ReadNode(const YAML::Node& root, Settings& settings) const {
    TRY_ASSIGN(const YAML::Node node,
               ReadSection(root, "node", {"id", "failure_domain"}));
    TRY_ASSIGN(const std::string id, ReadName(node, "node", "id"));
    TRY_ASSIGN(const std::string domain,
               ReadName(node, "node", "failure_domain"));
    settings.m_node = NodeId(id);
    settings.m_failure_domain = FailureDomainId(domain);
    return Success();
  }

  Result<void> ReadAddresses(const YAML::Node& root, Settings& settings) const {
    TRY_ASSIGN(const YAML::Node listen,
               ReadSection(root, "listen", {"http", "mesh"}));
    TRY_ASSIGN(settings.m_http_address, ReadAddress(listen, "listen", "http"));
    TRY_ASSIGN(settings.m_mesh_address, ReadAddress(listen, "listen", "mesh"));
    if (settings.m_http_address == settings.m_mesh_address) {
      return Fail(listen, "listen.mesh",
                  "expected an address other than listen.http");
    }
    TRY_ASSIGN(const YAML::Node platform,
               ReadSection(root, "platform", {"address"}));
    TRY_ASSIGN(settings.m_platform_address,
               ReadAddress(platform, "platform", "address"));
    return Success();
  }

  Result<void> ReadPeers(const YAML::Node& root, Settings& settings) const {
    const YAML::Node peers = root["peers"];
    if (!peers) return Success();
    if (!peers.IsSequence()) {
      return Fail(peers, "peers", "expected a list of IP:port");
    }
    for (const YAML::Node& peer : peers) {
      if (!peer.IsScalar()) return Fail(peer, "peers", "expected IP:port");
      auto address = ParseAddress(peer.Scalar());
      if (!address) return Fail(peer, "peers", "expected IP:port");
      settings.m_peers.push_back(address.assume_value());
    }
    return Success();
  }

  Result<void> ReadCharts(const YAML::Node& root, Settings& settings) const {
    settings.m_charts_directory = "charts";
    const YAML::Node charts = root["charts"];
    if (!charts) return Success();
    if (!charts.IsScalar() || charts.Scalar().empty()) {
      return Fail(charts, "charts", "expected a directory path");
    }
    settings.m_charts_directory = charts.Scalar();
    return Success();
  }

  Result<void> ReadWorkers(const YAML::Node& root, Settings& settings) const {
    TRY_ASSIGN(
        const YAML::Node workers,
        ReadSection(root, "workers",
                    {"failure_domains", "partitions_per_failure_domain"}));
    const YAML::Node domains = workers["failure_domains"];
    if (!domains || !domains.IsSequence() || domains.size() == 0) {
      return Fail(domains ? domains : workers, "workers.failure_domains",
                  "expected a list of at least one failure domain");
    }
    for (const YAML::Node& domain : domains) {
      TRY_ASSIGN(const std::string name,
                 ParseName(domain, "workers.failure_domains"));
      const FailureDomainId id(name);
      const auto& known_domains = settings.m_failure_domains;
      if (std::find(known_domains.begin(), known_domains.end(), id) !=
          known_domains.end()) {
        return Fail(domain, "workers.failure_domains",
                    "\"" + name + "\" is a duplicate");
      }
      settings.m_failure_domains.push_back(id);
    }
    const YAML::Node partitions = workers["partitions_per_failure_domain"];
    if (!partitions) return Success();
    TRY_ASSIGN(settings.m_partitions_per_failure_domain,
               ReadInteger(partitions, "workers.partitions_per_failure_domain",
                           1, kMaximumPartitionsPerFailureDomain));
    return Success();
  }

  Result<std::int64_t> ReadInteger(const YAML::Node& node,
                                   const std::string& key, std::int64_t minimum,
                                   std::int64_t maximum) const {
    const std::string expected = "expected a whole number from " +
                                 std::to_string(minimum) + " to " +
                                 std::to_string(maximum);
    std::int64_t value = 0;
    if (!node.IsScalar() || !YAML::convert<std::int64_t>::decode(node, value) ||
        value < minimum || value > maximum) {
      return Fail(node, key, expected);
    }
    return value;
  }

  Result<Duration> ReadMilliseconds(const YAML::Node& section,
                                    const std::string& key,
                                    const DurationRange& range) const {
    const YAML::Node node = section ? section[key] : YAML::Node();
    if (!section || !node) {
      return FromMilliseconds(range.m_default_milliseconds);
    }
    TRY_ASSIGN(const std::int64_t value,
               ReadInteger(node, "timing." + key, range.m_minimum_milliseconds,
                           range.m_maximum_milliseconds));
    return FromMilliseconds(value);
  }

  Result<void> ReadTiming(const YAML::Node& root, Settings& settings) const {
    const YAML::Node timing = root["timing"];
    if (timing) {
      TRY(CheckKeys(timing, "timing",
                    {"node_lease_ms", "worker_lease_ms", "worker_poll_ms",
                     "drain_timeout_ms"}));
    }
    TRY_ASSIGN(settings.m_node_lease,
               ReadMilliseconds(timing, "node_lease_ms", kNodeLeaseRange));
    TRY_ASSIGN(settings.m_worker_lease,
               ReadMilliseconds(timing, "worker_lease_ms", kWorkerLeaseRange));
    TRY_ASSIGN(settings.m_worker_poll_interval,
               ReadMilliseconds(timing, "worker_poll_ms", kPollIntervalRange));
    TRY_ASSIGN(
        settings.m_drain_timeout,
        ReadMilliseconds(timing, "drain_timeout_ms", kDrainTimeoutRange));
    if (settings.m_worker_poll_interval * 3 > settings.m_worker_lease) {
      return Fail(timing, "timing.worker_poll_ms",
                  "expected at most a third of worker_lease_ms");
    }
    return Success();
  }

  std::string m_file;
};

}  // namespace

Result<Settings> ParseSettings(const std::string& text,
                               const std::string& file) {
  // yaml-cpp throws exceptions for syntax errors; they become an Error here.
  try {
    return SettingsReader(file).Run(YAML::Load(text));
  } catch (const YAML::Exception& exception) {
    return Error{ErrorCode::kInvalidArgument, "check settings",
                 file + ":" + std::to_string(exception.mark.line + 1),
                 exception.msg};
  }
}

Result<Settings> LoadSettings(const std::string& path) {
  std::ifstream stream(path);
  if (!stream) {
    return Error{ErrorCode::kNotFound, "open settings", path,
                 "cannot open file"};
  }
  std::ostringstream text;
  text << stream.rdbuf();
  return ParseSettings(text.str(), path);
}

std::vector<PartitionId> PartitionsOf(const Settings& settings) {
  std::vector<PartitionId> partitions;
  for (const FailureDomainId& domain : settings.m_failure_domains) {
    for (std::int64_t part = 0; part < settings.m_partitions_per_failure_domain;
         ++part) {
      partitions.emplace_back(domain.value() + "." + std::to_string(part));
    }
  }
  return partitions;
}

PartitionId PartitionOf(const Settings& settings,
                        const FailureDomainId& failure_domain,
                        const std::string& rack) {
  const std::uint64_t part =
      StableHash(rack) %
      static_cast<std::uint64_t>(settings.m_partitions_per_failure_domain);
  return PartitionId(failure_domain.value() + "." + std::to_string(part));
}

}  // namespace daisyarch
