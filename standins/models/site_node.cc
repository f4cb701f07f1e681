#include "models/site_node.h"

#include <utility>

namespace daisyarch {

std::string FillSettings(std::string text, const SiteNode& node) {
  const auto address = [](std::uint16_t port) {
    return "127.0.0.1:" + std::to_string(port);
  };
  const std::pair<std::string, std::string> values[] = {
      {"node", node.m_name},
      {"zone", "zone-a"},
      {"limits.cpu_share", node.m_processor_share},
      {"limits.memory_mb", node.m_memory_mb},
      {"limits.max_fds", node.m_maximum_descriptors},
      {"bounds.far_x", "1.5"},
      {"listen.front", address(node.m_caller_port)},
      {"listen.ready", address(node.m_ready_port)},
      {"ip", "127.0.0.1"},
      {"port_range.0", std::to_string(node.m_metrics_port)},
      {"port_range.1", std::to_string(node.m_relay_port)},
      {"platform.addr", address(node.m_store_port)},
      {"platform.ttl_min_ms", "1000"},
      {"bounds.hold_max_ms", "10000"},
      {"bounds.grace_s", "6"},
      {"bounds.status_s", "120"},
      {"bounds.harm_ms", "4000"},
      {"bounds.drain_ms", "2000"},
      {"bounds.evacuate_ms", "5000"}};
  for (const auto& [name, value] : values) {
    const std::string mark = "{{" + name + "}}";
    for (auto at = text.find(mark); at != std::string::npos;
         at = text.find(mark)) {
      text.replace(at, mark.size(), value);
    }
  }
  return text;
}

}  // namespace daisyarch
