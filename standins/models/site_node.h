#pragma once

#include <cstdint>
#include <string>

namespace daisyarch {

/// What the platform tells a node in its settings file.
struct SiteNode {
  std::string m_name;
  std::uint16_t m_caller_port = 0;
  std::uint16_t m_ready_port = 0;
  std::uint16_t m_metrics_port = 0;
  std::uint16_t m_relay_port = 0;
  std::uint16_t m_store_port = 0;
  std::string m_processor_share = "0.25";  ///< Of a core.
  std::string m_memory_mb = "260";
  std::string m_maximum_descriptors = "4100";
};

/// Fills in the template of the settings file, as the platform does.
std::string FillSettings(std::string text, const SiteNode& node);

}  // namespace daisyarch
