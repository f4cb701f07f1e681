#pragma once

#include <cstddef>

namespace daisyarch {

/// Returns the bytes that operator new has handed out and that are not freed.
std::size_t LiveHeapBytes();

}  // namespace daisyarch
