#pragma once

#include <boost/asio/io_context.hpp>
#include <list>

#include "http/http_message.h"
#include "models/store_model.h"

namespace daisyarch {

/// Faults that a test asks the stand-in for.
struct StoreFaults {
  TimePoint m_outage_until{};  ///< Calls hang and are dropped.
  TimePoint m_refuse_until{};  ///< Calls are refused with 503.
  Duration m_delay{};
  std::uint64_t m_lose_answers = 0;  ///< Of the next writes, after the effect.
};

/// A watch that waits for its key to change.
struct PendingWatch {
  std::string m_key;
  StoreVersion m_known;
  TimePoint m_until{};
  HttpResponder m_respond;
};

/// The stand-in's service: store, leases, host list and faults over HTTP.
struct StoreService {
  boost::asio::io_context& m_loop;
  StoreModel m_store;
  StoreFaults m_faults;
  std::list<PendingWatch> m_watches;
  std::string m_hosts;  ///< The host list as JSON.
};

/// Answers one call as docs/PLATFORM.md says.
void HandleStoreCall(StoreService& service, const HttpRequest& request,
                     const HttpResponder& respond);

/// Lets leases run out and watches end.
void TickStore(StoreService& service, TimePoint now);

}  // namespace daisyarch
