#pragma once

#include <string>

#include "base/result.h"
#include "http/address.h"
#include "wire/json.h"

namespace daisyarch {

/// Sends one control request to a daemon and waits for its answer. An error
/// of the daemon comes back as it is.
Result<Json> CallDaemon(const Address& daemon, const std::string& method,
                        const std::string& path, const std::string& body);

}  // namespace daisyarch
