#include "fakes/heap_meter.h"

#include <malloc.h>

#include <atomic>
#include <cstdlib>
#include <new>

namespace {

// Some tests start threads.
std::atomic<std::size_t> live_bytes{0};
std::atomic<std::size_t> peak_bytes{0};

}  // namespace

void* operator new(std::size_t size) {
  void* memory = std::malloc(size);
  if (memory == nullptr) throw std::bad_alloc();
  live_bytes += malloc_usable_size(memory);
  if (live_bytes > peak_bytes) peak_bytes = live_bytes.load();
  return memory;
}

void operator delete(void* memory) noexcept {
  if (memory == nullptr) return;
  live_bytes -= malloc_usable_size(memory);
  std::free(memory);
}

void operator delete(void* memory, std::size_t) noexcept {
  operator delete(memory);
}

namespace daisyarch {

std::size_t LiveHeapBytes() { return live_bytes; }

std::size_t PeakHeapBytes() { return peak_bytes; }

void ResetHeapPeak() { peak_bytes = live_bytes.load(); }

}  // namespace daisyarch
