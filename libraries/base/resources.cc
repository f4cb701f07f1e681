#include "base/resources.h"

namespace daisyarch {

Resources operator+(const Resources& left, const Resources& right) {
  return Resources{left.m_processors + right.m_processors,
                   left.m_memory + right.m_memory,
                   left.m_accelerators + right.m_accelerators};
}

Resources operator-(const Resources& left, const Resources& right) {
  return Resources{left.m_processors - right.m_processors,
                   left.m_memory - right.m_memory,
                   left.m_accelerators - right.m_accelerators};
}

bool Fits(const Resources& demand, const Resources& available) {
  return demand.m_processors <= available.m_processors &&
         demand.m_memory <= available.m_memory &&
         demand.m_accelerators <= available.m_accelerators;
}

std::string FirstShortage(const Resources& demand, const Resources& available) {
  if (demand.m_processors > available.m_processors) return "processors";
  if (demand.m_memory > available.m_memory) return "memory";
  if (demand.m_accelerators > available.m_accelerators) return "accelerators";
  return "";
}

}  // namespace daisyarch
