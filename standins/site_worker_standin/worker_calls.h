#pragma once

#include "site_workers.h"

namespace daisyarch {

/// Handles one call of the users' protocol.
void HandleCall(SiteWorkers& workers, SiteWorker& worker,
                const HttpRequest& request, const HttpResponder& respond);

/// Answers the polls that have waited for an end, or long enough.
void AnswerPolls(SiteWorker& worker, TimePoint now);

}  // namespace daisyarch
