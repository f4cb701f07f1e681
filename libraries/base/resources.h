#pragma once

#include <string>

#include "base/quantity.h"

namespace daisyarch {

/// The resources that a worker offers or a task requires.
struct Resources {
  Millicores m_processors;
  Mebibytes m_memory;
  Accelerators m_accelerators;

  friend bool operator==(const Resources& left, const Resources& right) {
    return left.m_processors == right.m_processors &&
           left.m_memory == right.m_memory &&
           left.m_accelerators == right.m_accelerators;
  }
};

Resources operator+(const Resources& left, const Resources& right);
Resources operator-(const Resources& left, const Resources& right);

/// Returns true if `demand` is at most `available` in every dimension.
bool Fits(const Resources& demand, const Resources& available);

/// Returns the name of the first dimension in which `demand` exceeds
/// `available`, or an empty string if there is none.
std::string FirstShortage(const Resources& demand, const Resources& available);

}  // namespace daisyarch
