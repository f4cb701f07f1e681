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
constexpr DurationRange kPollRange{50, 10000, 1000};
constexpr DurationRange kDrainRange{1000, 600000, 60000};

class Reader {
 public:
  explicit Reader(std::string file) : m_file(std::move(file)) {}

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
             const std::string& expected) const {
    return Error{ErrorCode::kInvalidArgument, "check settings",
                 m_file + ":" + std::to_string(node.Mark().line + 1),
                 key + ": " + expected};
  }

  Result<void> CheckKeys(const YAML::Node& node, const std::string& key,
                         const std::set<std::string>& known) const {
    if (!node.IsMap()) {
      return Fail(node, key.empty() ? "file" : key, "expected a map");
    }
    std::set<std::string> seen;
    for (const auto& entry : node) {
      const std::string name = entry.first.Scalar();
      const std::string path = key.empty() ? name : key + "." + name;
      if (known.count(name) == 0) {
        return Fail(entry.first, path, "unknown key");
      }
      if (!seen.insert(name).second) {
        return Fail(entry.first, path, "stands twice");
      }
    }
    return Success();
  }

  Result<YAML::Node> Section(const YAML::Node& root, const std::string& name,
                             const std::set<std::string>& known) const {
    const YAML::Node section = root[name];
    if (!section) return Fail(root, name, "is missing");
    TRY(CheckKeys(section, name, known));
    return section;
  }

  Result<std::string> Name(const YAML::Node& section, const std::string& path,
                           const std::string& key) const {
    const YAML::Node node = section[key];
    const std::string full = path + "." + key;
    if (!node) return Fail(section, full, "is missing");
    return NameOf(node, full);
  }

  Result<std::string> NameOf(const YAML::Node& node,
                             const std::string& key) const {
    const std::string allowed =
        "abcdefghijklmnopqrstuvwxyzABCDEFGHIJKLMNOPQRSTUVWXYZ0123456789-_";
    if (!node.IsScalar() || node.Scalar().empty() ||
        node.Scalar().size() > kMaximumNameLength ||
        node.Scalar().find_first_not_of(allowed) != std::string::npos) {
      return Fail(node, key,
                  "expected a name of letters, digits, - and _, at most 64");
    }
    return node.Scalar();
  }

  Result<Address> ReadAddress(const YAML::Node& section,
                              const std::string& path,
                              const std::string& key) const {
    const YAML::Node node = section[key];
    const std::string full = path + "." + key;
    if (!node) return Fail(section, full, "is missing; expected IP:port");
    if (!node.IsScalar()) return Fail(node, full, "expected IP:port");
    auto address = ParseAddress(node.Scalar());
    if (!address) return Fail(node, full, "expected IP:port");
    return address;
  }

  Result<void> ReadNode(const YAML::Node& root, Settings& settings) const {
    TRY_ASSIGN(const YAML::Node node,
               Section(root, "node", {"id", "failure_domain"}));
    TRY_ASSIGN(const std::string id, Name(node, "node", "id"));
    TRY_ASSIGN(const std::string domain, Name(node, "node", "failure_domain"));
    settings.m_node = NodeId(id);
    settings.m_failure_domain = FailureDomainId(domain);
    return Success();
  }

  Result<void> ReadAddresses(const YAML::Node& root, Settings& settings) const {
    TRY_ASSIGN(const YAML::Node listen,
               Section(root, "listen", {"http", "mesh"}));
    TRY_ASSIGN(settings.m_http_address, ReadAddress(listen, "listen", "http"));
    TRY_ASSIGN(settings.m_mesh_address, ReadAddress(listen, "listen", "mesh"));
    if (settings.m_http_address == settings.m_mesh_address) {
      return Fail(listen, "listen.mesh", "expected another port than http");
    }
    TRY_ASSIGN(const YAML::Node platform,
               Section(root, "platform", {"address"}));
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
      return Fail(charts, "charts", "expected a folder");
    }
    settings.m_charts_directory = charts.Scalar();
    return Success();
  }

  Result<void> ReadWorkers(const YAML::Node& root, Settings& settings) const {
    TRY_ASSIGN(const YAML::Node workers,
               Section(root, "workers",
                       {"failure_domains", "partitions_per_failure_domain"}));
    const YAML::Node domains = workers["failure_domains"];
    if (!domains || !domains.IsSequence() || domains.size() == 0) {
      return Fail(domains ? domains : workers, "workers.failure_domains",
                  "expected a list of at least one failure domain");
    }
    for (const YAML::Node& domain : domains) {
      TRY_ASSIGN(const std::string name,
                 NameOf(domain, "workers.failure_domains"));
      const FailureDomainId id(name);
      const auto& known = settings.m_failure_domains;
      if (std::find(known.begin(), known.end(), id) != known.end()) {
        return Fail(domain, "workers.failure_domains",
                    "\"" + name + "\" stands twice");
      }
      settings.m_failure_domains.push_back(id);
    }
    const YAML::Node parts = workers["partitions_per_failure_domain"];
    if (!parts) return Success();
    TRY_ASSIGN(settings.m_partitions_per_failure_domain,
               Integer(parts, "workers.partitions_per_failure_domain", 1,
                       kMaximumPartitionsPerFailureDomain));
    return Success();
  }

  Result<std::int64_t> Integer(const YAML::Node& node, const std::string& key,
                               std::int64_t minimum,
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

  Result<Duration> Milliseconds(const YAML::Node& section,
                                const std::string& key,
                                const DurationRange& range) const {
    const YAML::Node node = section ? section[key] : YAML::Node();
    if (!section || !node) {
      return FromMilliseconds(range.m_default_milliseconds);
    }
    TRY_ASSIGN(const std::int64_t value,
               Integer(node, "timing." + key, range.m_minimum_milliseconds,
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
               Milliseconds(timing, "node_lease_ms", kNodeLeaseRange));
    TRY_ASSIGN(settings.m_worker_lease,
               Milliseconds(timing, "worker_lease_ms", kWorkerLeaseRange));
    TRY_ASSIGN(settings.m_worker_poll_interval,
               Milliseconds(timing, "worker_poll_ms", kPollRange));
    TRY_ASSIGN(settings.m_drain_timeout,
               Milliseconds(timing, "drain_timeout_ms", kDrainRange));
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
  // yaml-cpp reports syntax errors by exceptions; they end here.
  try {
    return Reader(file).Run(YAML::Load(text));
  } catch (const YAML::Exception& exception) {
    return Error{ErrorCode::kInvalidArgument, "check settings",
                 file + ":" + std::to_string(exception.mark.line + 1),
                 exception.msg};
  }
}

Result<Settings> LoadSettings(const std::string& path) {
  std::ifstream stream(path);
  if (!stream) {
    return Error{ErrorCode::kNotFound, "open settings", path, "cannot be read"};
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
