#pragma once

#include <string>

#include "base/result.h"
#include "http/address.h"
#include "wire/json.h"

namespace daisyarch {

/// Sends one control request to a daemon and blocks until it is answered or
/// times out. An error that the daemon reports is returned unchanged.
Result<Json> CallDaemon(const Address& daemon, const std::string& method,
                        const std::string& path, const std::string& body);

}  // namespace daisyarch
