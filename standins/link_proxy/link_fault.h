#pragma once

#include <cstdint>

#include "base/time.h"

namespace daisyarch {

enum class LinkMode {
  kPass,
  kLoseAnswers,    ///< Requests arrive; the connection then returns nothing.
  kLoseRequests,   ///< The connection is silent in both directions.
  kDelayRequests,  ///< Requests arrive late, and their answers are lost.
  kClosed,         ///< Connections are closed.
};

/// What happens on a link until a time.
struct LinkFault {
  LinkMode m_mode = LinkMode::kPass;
  TimePoint m_until{};
  std::uint64_t m_percent = 100;  ///< Share of the messages that it hits.
  Duration m_longest_delay{};
};

}  // namespace daisyarch
