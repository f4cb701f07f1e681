#pragma once

#include <cstddef>
#include <string>
#include <vector>

namespace daisyarch::limits {

enum class Target { kCallers, kMetrics, kRelay };

/// What each connection of a crowd sends, whatever is answered: the prefix,
/// pieces until their bytes are sent, and then, if it dribbles, single bytes.
struct Crowd {
  std::string m_name;
  Target m_target = Target::kCallers;
  std::size_t m_connections = 0;
  std::string m_prefix;
  std::string m_piece;
  std::size_t m_piece_bytes = 0;
  bool m_is_dribbling = false;
  bool m_is_reading = true;
};

/// The crowds, each with the name of its test.
std::vector<Crowd> MakeCrowds();

}  // namespace daisyarch::limits
