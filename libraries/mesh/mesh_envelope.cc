#include "mesh/mesh_envelope.h"

namespace daisyarch {

ErrorCode ParseErrorCode(const std::string& name) {
  for (const ErrorCode code :
       {ErrorCode::kInvalidArgument, ErrorCode::kNotFound, ErrorCode::kConflict,
        ErrorCode::kNotRun, ErrorCode::kUnavailable, ErrorCode::kOutcomeUnknown,
        ErrorCode::kNotOwner}) {
    if (name == ToString(code)) return code;
  }
  return ErrorCode::kInternal;
}

}  // namespace daisyarch
