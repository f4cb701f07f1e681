#pragma once

#include "base/time.h"
#include "http/http_message.h"

namespace daisyarch {

/// A poll that waits for the end of a run.
struct PendingPoll {
  TimePoint m_until{};
  HttpResponder m_respond;
};

}  // namespace daisyarch
