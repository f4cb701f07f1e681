#pragma once

#include "base/time.h"
#include "http/http_message.h"

namespace daisyarch {

/// A call that was on its way when the worker ended. The next life takes it.
struct HeldCall {
  HttpRequest m_request;
  HttpResponder m_respond;  ///< Not called; the connection lasts as long.
  TimePoint m_due_at{};     ///< Of the next life.
};

}  // namespace daisyarch
