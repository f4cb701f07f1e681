#pragma once

#include <functional>
#include <memory>
#include <string>
#include <vector>

#include "platform/store.h"

namespace daisyarch::fleet {

/// Follows every change below one prefix, for as long as it lives. A lost
/// history is read anew.
struct PrefixWatch {
  std::string m_prefix;
  Duration m_wait = std::chrono::milliseconds(2000);
  /// Takes every item there is; what is missing was removed.
  std::function<void(const std::vector<StoredItem>&)> m_on_listing;
  std::function<void(const std::vector<StoreChange>&)> m_on_changes;
  std::function<void(const Error&)> m_on_failure = [](const Error&) {};

  StoreRevision m_as_of;
  bool m_has_listing = false;
  bool m_is_calling = false;
  TimePoint m_next_call_at{};
  TimePoint m_answered_at{};  ///< When the store last answered.
};

using PrefixWatchPointer = std::shared_ptr<PrefixWatch>;

/// Calls the store if no call is under way and none has to be waited for.
void TickWatch(const PrefixWatchPointer& watch, const Store& store,
               const std::function<TimePoint()>& clock);

}  // namespace daisyarch::fleet
