#pragma once

#include <boost/asio/io_context.hpp>

#include "base/time.h"
#include "http/address.h"
#include "platform/platform.h"

namespace daisyarch {

/// Speaks to the platform's service over HTTP, as docs/PLATFORM.md says.
/// Calls that take longer than `timeout` end with kOutcomeUnknown.
Platform MakeHttpPlatform(boost::asio::io_context& loop, const Address& address,
                          Duration timeout);

}  // namespace daisyarch
