#pragma once

#include <cstdint>
#include <string>

#include "wire/field_codec.h"

namespace daisyarch {

/// A message between two nodes: a call, or the answer with the same number.
struct MeshEnvelope {
  std::uint64_t m_number = 0;
  std::string m_method;  ///< Empty in an answer.
  std::string m_error;   ///< Name of the error code; empty on success.
  std::string m_detail;
  Json m_body;
};

template <typename Visitor>
void VisitFields(Visitor& visit, MeshEnvelope& envelope) {
  visit("number", envelope.m_number);
  visit("method", envelope.m_method);
  visit("error", envelope.m_error);
  visit("detail", envelope.m_detail);
  visit("body", envelope.m_body);
}

/// Returns the error code with this name; kInternal for an unknown name.
ErrorCode ParseErrorCode(const std::string& name);

}  // namespace daisyarch
