#pragma once

#include <boost/asio/io_context.hpp>
#include <list>

#include "http/http_message.h"
#include "models/store_model.h"

namespace daisyarch {

/// Faults that a test has requested from the stand-in.
struct StoreFaults {
  TimePoint m_outage_until{};  ///< Until then, calls get no answer.
  TimePoint m_refuse_until{};  ///< Until then, calls get status 503.
  Duration m_delay{};          ///< Added to each call.
  /// How many of the next writes take effect but get no answer.
  std::uint64_t m_lose_answers = 0;
};

/// A watch that waits for a version of its key above m_known.
struct PendingWatch {
  std::string m_key;
  StoreVersion m_known;
  TimePoint m_until{};
  HttpResponder m_respond;
};

/// State of the stand-in: store, host list, waiting watches and faults.
struct StoreService {
  boost::asio::io_context& m_loop;
  StoreModel m_store;
  StoreFaults m_faults;
  std::list<PendingWatch> m_watches;
  std::string m_hosts;  ///< The host list as JSON.
};

/// Handles one call of the interface that docs/PLATFORM.md describes.
void HandleStoreCall(StoreService& service, const HttpRequest& request,
                     const HttpResponder& respond);

/// Expires leases and answers watches whose wait is over.
void TickStore(StoreService& service, TimePoint now);

}  // namespace daisyarch
