#pragma once

#include <string>

#include "http/http_message.h"
#include "http/http_server.h"

// What the review adds to the stand-in of the workers.

namespace daisyarch::review {

/// The worker's kind, the first of its labels.
std::string& KindOf(const std::string& worker);

/// From now on the worker leaves calls without an answer.
void LosePower(const std::string& worker);
void RegainPower(const std::string& worker);
bool HasNoPower(const std::string& worker);
void KeepUnanswered(const std::string& worker, const HttpRequest& request,
                    const HttpResponder& respond);

}  // namespace daisyarch::review
