#pragma once

#include <string>

namespace daisyarch {

/// What kind of failure an Error reports; callers decide on this alone.
enum class ErrorCode {
  kInvalidArgument,  ///< The input is wrong; the same call fails again.
  kNotFound,         ///< The named thing does not exist.
  kConflict,         ///< Another writer came first.
  kNotRun,           ///< Refused before any effect; a repeat is safe.
  kUnavailable,      ///< Not reached; certainly without effect.
  kOutcomeUnknown,   ///< Sent, but the answer is missing.
  kNotOwner,         ///< Another node decides this.
  kInternal,         ///< A fault of this program.
};

/// A failure with the step at which it arose and the peer that was involved.
struct Error {
  ErrorCode m_code = ErrorCode::kInternal;
  std::string m_step;
  std::string m_peer;
  std::string m_detail;
};

/// The lower-case name of the code, as it appears in logs and answers.
const char* ToString(ErrorCode code);

/// Step, peer and detail on one line.
std::string ToString(const Error& error);

}  // namespace daisyarch
