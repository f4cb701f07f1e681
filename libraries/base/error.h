#pragma once

#include <string>

namespace daisyarch {

/// The kind of failure that an Error reports. Callers base their reaction on
/// this code alone.
enum class ErrorCode {
  kInvalidArgument,  ///< Invalid input; the same call fails again.
  kNotFound,         ///< The named object does not exist.
  kConflict,         ///< Conflicts with an earlier change or request.
  kNotRun,           ///< Rejected before it took effect; safe to repeat.
  kUnavailable,      ///< Peer or resource unavailable; no effect.
  kOutcomeUnknown,   ///< Sent, but not answered; it may take effect.
  kNotOwner,         ///< Another node owns the partition.
  kInternal,         ///< A bug, or an answer that was not expected.
};

/// A failure, with the step that failed and the peer involved.
struct Error {
  ErrorCode m_code = ErrorCode::kInternal;
  std::string m_step;
  std::string m_peer;
  std::string m_detail;
  /// The peer's host refused or closed the connection, as after a crash of the
  /// peer's process. False if there was no response at all.
  bool m_is_closed_by_peer = false;
};

/// Returns the lower-case name of the code, as used in logs and responses.
const char* ToString(ErrorCode code);

/// Returns step, peer and detail as one line of text.
std::string ToString(const Error& error);

}  // namespace daisyarch
