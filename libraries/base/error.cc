#include "base/error.h"

namespace daisyarch {

const char* ToString(ErrorCode code) {
  switch (code) {
    case ErrorCode::kInvalidArgument:
      return "invalid_argument";
    case ErrorCode::kNotFound:
      return "not_found";
    case ErrorCode::kConflict:
      return "conflict";
    case ErrorCode::kNotRun:
      return "not_run";
    case ErrorCode::kUnavailable:
      return "unavailable";
    case ErrorCode::kOutcomeUnknown:
      return "outcome_unknown";
    case ErrorCode::kNotOwner:
      return "not_owner";
    case ErrorCode::kInternal:
      return "internal";
  }
  return "internal";
}

std::string ToString(const Error& error) {
  std::string text = error.m_step;
  if (!error.m_peer.empty()) text += " (" + error.m_peer + ")";
  if (!error.m_detail.empty()) text += ": " + error.m_detail;
  return text;
}

}  // namespace daisyarch
