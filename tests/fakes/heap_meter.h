#pragma once

#include <cstddef>

namespace daisyarch {

/// Returns the bytes that operator new has handed out and that are not freed.
std::size_t LiveHeapBytes();

/// Returns the most that LiveHeapBytes() has been since ResetHeapPeak().
std::size_t PeakHeapBytes();
void ResetHeapPeak();

}  // namespace daisyarch
