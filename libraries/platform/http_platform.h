#pragma once

#include <boost/asio/io_context.hpp>

#include "base/time.h"
#include "http/address.h"
#include "platform/platform.h"

namespace daisyarch {

/// Returns a platform that calls the platform's service over HTTP, as specified
/// in docs/PLATFORM.md. A call that is not answered within `timeout` (for a
/// watch, `timeout` after its wait) fails with kOutcomeUnknown.
Platform MakeHttpPlatform(boost::asio::io_context& loop, const Address& address,
                          Duration timeout);

}  // namespace daisyarch
