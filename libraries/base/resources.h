#pragma once

#include <string>

#include "base/quantity.h"

namespace daisyarch {

/// What a worker offers or a task needs.
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

/// True when `demand` fits into `room` in every dimension.
bool Fits(const Resources& demand, const Resources& room);

/// Names the first dimension in which `demand` exceeds `room`; empty if none.
std::string FirstShortage(const Resources& demand, const Resources& room);

}  // namespace daisyarch
