#pragma once

#include <functional>

#include "decisions/placement/worker_messages.h"
#include "http/http_client.h"

namespace daisyarch {

/// Sends a control message to a worker as JSON over HTTP and decodes its
/// report; see docs/PLATFORM.md. kInternal for a status other than 200.
void ExchangeOverHttp(HttpClient& client, const WorkerId& worker,
                      const WorkerControl& control, Duration timeout,
                      std::function<void(Result<WorkerReport>)> on_answer);

}  // namespace daisyarch
