#pragma once

#include <functional>
#include <memory>
#include <string>
#include <vector>

#include "platform/store.h"

namespace daisyarch::fleet {

/// Follows every change below one prefix until it is destroyed. If the store
/// no longer has the history that a watch needs, the prefix is listed again.
struct PrefixWatch {
  std::string m_prefix;
  Duration m_wait = std::chrono::milliseconds(2000);  ///< Maximum per call.
  /// Minimum time between two calls, so that one tells of several changes.
  Duration m_interval{};
  /// A page can be 1 MB, whose transfer alone takes 0.8 s at 10 Mbit/s.
  Duration m_list_timeout = std::chrono::milliseconds(1500);
  /// Receives all items below the prefix; a key that is missing was removed.
  std::function<void(const std::vector<StoredItem>&)> m_on_listing;
  std::function<void(const std::vector<StoreChange>&)> m_on_changes;
  std::function<void(const Error&)> m_on_failure = [](const Error&) {};
  /// Called after each answer, whether or not there were changes.
  std::function<void()> m_on_answer = [] {};

  StoreRevision m_as_of;
  bool m_has_listing = false;  ///< While false, the next call is a listing.
  bool m_is_call_in_flight = false;
  TimePoint m_next_call_at{};
  TimePoint m_sent_at{};      ///< When the latest call was sent.
  TimePoint m_answered_at{};  ///< When the store last answered.
  TimePoint m_known_at{};     ///< Every change before this time was received.
};

using PrefixWatchPointer = std::shared_ptr<PrefixWatch>;

/// Sends the next call to the store, unless one is in flight or the retry
/// delay has not passed.
void TickWatch(const PrefixWatchPointer& watch, const Store& store,
               const std::function<TimePoint()>& clock);

}  // namespace daisyarch::fleet
