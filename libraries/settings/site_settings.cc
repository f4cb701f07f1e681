#include "settings/site_settings.h"

#include <yaml-cpp/yaml.h>

#include <cmath>
#include <fstream>
#include <set>
#include <sstream>

namespace daisyarch {

namespace {

constexpr std::size_t kBytesPerMegabyte = 1024UL * 1024;
// A node needs this much before it holds anything for its peers.
constexpr std::size_t kMinimumMemoryMb = 48;
constexpr std::size_t kMinimumDescriptors = 320;
constexpr double kMaximumCount = 1e9;
constexpr const char* kPlaceholderStart = "{{";

// Without quotes, YAML reads a placeholder as a map whose only key is a map.
bool IsPlaceholder(const YAML::Node& value) {
  if (value.IsScalar()) {
    return value.Scalar().find(kPlaceholderStart) != std::string::npos;
  }
  return value.IsMap() && value.size() == 1 && value.begin()->first.IsMap();
}

class SiteSettingsReader {
 public:
  explicit SiteSettingsReader(std::string file) : m_file(std::move(file)) {}

  Result<SiteSettings> Run(const YAML::Node& root) {
    TRY(CheckKeys(root, {"node", "failure_domain", "listen", "store", "charts",
                         "processor_share", "timing", "far_factor", "limits"}));
    SiteSettings settings;
    TRY_ASSIGN(const std::string node, ReadText(root, "node"));
    settings.m_node = NodeId(node);
    TRY_ASSIGN(const std::string domain, ReadText(root, "failure_domain"));
    settings.m_failure_domain = FailureDomainId(domain);
    TRY_ASSIGN(settings.m_charts_directory, ReadText(root, "charts"));
    TRY_ASSIGN(settings.m_processor_share, ReadNumber(root, "processor_share"));
    TRY_ASSIGN(settings.m_remote_slowdown, ReadNumber(root, "far_factor"));
    TRY(ReadListen(root, settings));
    TRY(ReadStore(root, settings));
    TRY(ReadTiming(root, settings));
    TRY(ReadLimits(root, settings));
    return settings;
  }

 private:
  Error Fail(const YAML::Node& node, const std::string& key,
             const std::string& detail) const {
    return Error{ErrorCode::kInvalidArgument, "check settings",
                 m_file + ":" + std::to_string(node.Mark().line + 1),
                 key + ": " + detail};
  }

  Result<void> CheckKeys(const YAML::Node& node,
                         const std::set<std::string>& allowed_keys) const {
    if (!node.IsMap()) return Fail(node, "file", "expected a map");
    std::set<std::string> seen;
    for (const auto& entry : node) {
      const std::string name = entry.first.Scalar();
      if (allowed_keys.count(name) == 0) {
        return Fail(entry.first, name, "unknown key");
      }
      if (!seen.insert(name).second) {
        return Fail(entry.first, name, "duplicate key");
      }
    }
    return Success();
  }

  Result<YAML::Node> ReadSection(
      const YAML::Node& root, const std::string& name,
      const std::set<std::string>& allowed_keys) const {
    const YAML::Node section = root[name];
    if (!section) return Fail(root, name, "missing required key");
    TRY(CheckKeys(section, allowed_keys));
    return section;
  }

  Result<std::string> ReadText(const YAML::Node& node,
                               const std::string& key) const {
    const YAML::Node value = node[key];
    if (value && IsPlaceholder(value)) {
      return Fail(value, key, "the placeholder is not filled in");
    }
    if (!value || !value.IsScalar() || value.Scalar().empty()) {
      return Fail(node, key, "expected non-empty text");
    }
    return value.Scalar();
  }

  // Returns whether the section has the optional key with a value.
  bool HasValue(const YAML::Node& section, const std::string& section_name,
                const std::string& key, SiteSettings& settings) const {
    const YAML::Node value = section[key];
    if (!value) return false;
    if (!IsPlaceholder(value)) return true;
    settings.m_unfilled_keys.push_back(section_name + "." + key);
    return false;
  }

  Result<double> ReadNumber(const YAML::Node& node,
                            const std::string& key) const {
    TRY_ASSIGN(const std::string text, ReadText(node, key));
    char* end = nullptr;
    const double number = std::strtod(text.c_str(), &end);
    if (end == text.c_str() || *end != '\0' || !(number > 0)) {
      return Fail(node, key, "expected a number above 0");
    }
    return number;
  }

  Result<Address> ReadAddress(const YAML::Node& node,
                              const std::string& key) const {
    TRY_ASSIGN(const std::string text, ReadText(node, key));
    auto address = ParseAddress(text);
    if (!address) return Fail(node, key, "expected IP:port");
    return std::move(address).assume_value();
  }

  Result<void> ReadListen(const YAML::Node& root,
                          SiteSettings& settings) const {
    TRY_ASSIGN(
        const YAML::Node listen,
        ReadSection(root, "listen", {"callers", "ready", "metrics", "relay"}));
    TRY_ASSIGN(settings.m_client_address, ReadAddress(listen, "callers"));
    TRY_ASSIGN(settings.m_readiness_address, ReadAddress(listen, "ready"));
    TRY_ASSIGN(settings.m_metrics_address, ReadAddress(listen, "metrics"));
    if (!HasValue(listen, "listen", "relay", settings)) return Success();
    TRY_ASSIGN(settings.m_relay_address, ReadAddress(listen, "relay"));
    return Success();
  }

  Result<void> ReadStore(const YAML::Node& root, SiteSettings& settings) const {
    TRY_ASSIGN(const YAML::Node store,
               ReadSection(root, "store", {"address", "lease_minimum_ms"}));
    TRY_ASSIGN(settings.m_store_address, ReadAddress(store, "address"));
    TRY_ASSIGN(settings.m_store_lease_minimum,
               ReadMilliseconds(store, "lease_minimum_ms"));
    return Success();
  }

  Result<void> ReadTiming(const YAML::Node& root,
                          SiteSettings& settings) const {
    TRY_ASSIGN(const YAML::Node timing,
               ReadSection(root, "timing",
                           {"worker_lease_maximum_ms", "stop_grace_s",
                            "state_retention_s", "harm_ms", "leaving_ms",
                            "evacuation_ms"}));
    TRY_ASSIGN(settings.m_worker_lease_maximum,
               ReadMilliseconds(timing, "worker_lease_maximum_ms"));
    TRY_ASSIGN(settings.m_maximum_target_overrun,
               ReadMilliseconds(timing, "harm_ms"));
    TRY_ASSIGN(settings.m_leaving_grace_period,
               ReadMilliseconds(timing, "leaving_ms"));
    TRY_ASSIGN(settings.m_stop_grace_period,
               ReadSeconds(timing, "stop_grace_s"));
    TRY_ASSIGN(settings.m_state_retention,
               ReadSeconds(timing, "state_retention_s"));
    if (!HasValue(timing, "timing", "evacuation_ms", settings)) {
      return Success();
    }
    const YAML::Node evacuation = timing["evacuation_ms"];
    if (evacuation.IsScalar() && evacuation.Scalar().empty()) return Success();
    TRY_ASSIGN(settings.m_evacuation_period,
               ReadMilliseconds(timing, "evacuation_ms"));
    return Success();
  }

  // Without the section, or one of its keys, the defaults hold.
  Result<void> ReadLimits(const YAML::Node& root,
                          SiteSettings& settings) const {
    if (!root["limits"]) return Success();
    TRY_ASSIGN(const YAML::Node limits,
               ReadSection(root, "limits", {"memory_mb", "descriptors"}));
    if (HasValue(limits, "limits", "memory_mb", settings)) {
      TRY_ASSIGN(const std::size_t megabytes,
                 ReadCount(limits, "memory_mb", kMinimumMemoryMb));
      settings.m_memory_bytes = megabytes * kBytesPerMegabyte;
    }
    if (HasValue(limits, "limits", "descriptors", settings)) {
      TRY_ASSIGN(settings.m_maximum_descriptors,
                 ReadCount(limits, "descriptors", kMinimumDescriptors));
    }
    return Success();
  }

  Result<std::size_t> ReadCount(const YAML::Node& node, const std::string& key,
                                std::size_t minimum) const {
    TRY_ASSIGN(const double number, ReadNumber(node, key));
    if (number < static_cast<double>(minimum) || number > kMaximumCount ||
        number != std::floor(number)) {
      return Fail(node[key], key,
                  "expected a whole number from " + std::to_string(minimum));
    }
    return static_cast<std::size_t>(number);
  }

  Result<Duration> ReadMilliseconds(const YAML::Node& node,
                                    const std::string& key) const {
    TRY_ASSIGN(const double number, ReadNumber(node, key));
    return std::chrono::duration_cast<Duration>(
        std::chrono::duration<double, std::milli>(number));
  }

  Result<Duration> ReadSeconds(const YAML::Node& node,
                               const std::string& key) const {
    TRY_ASSIGN(const double number, ReadNumber(node, key));
    return std::chrono::duration_cast<Duration>(
        std::chrono::duration<double>(number));
  }

  std::string m_file;
};

}  // namespace

Result<SiteSettings> ParseSiteSettings(const std::string& text,
                                       const std::string& file) {
  try {
    return SiteSettingsReader(file).Run(YAML::Load(text));
  } catch (const YAML::Exception& exception) {
    return Error{ErrorCode::kInvalidArgument, "read settings", file,
                 exception.what()};
  }
}

Result<std::string> ReadSettingsText(const std::string& path) {
  std::ifstream stream(path);
  if (!stream) {
    return Error{ErrorCode::kNotFound, "read settings", path,
                 "cannot open file"};
  }
  std::stringstream text;
  text << stream.rdbuf();
  return text.str();
}

Result<SiteSettings> LoadSiteSettings(const std::string& path) {
  TRY_ASSIGN(const std::string text, ReadSettingsText(path));
  return ParseSiteSettings(text, path);
}

}  // namespace daisyarch
