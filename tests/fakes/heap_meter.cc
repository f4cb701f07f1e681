#include "fakes/heap_meter.h"

#include <malloc.h>

#include <atomic>
#include <cstdlib>
#include <new>

#ifdef __SANITIZE_ADDRESS__
// Of the sanitizer's library, whose header is not installed with the compiler.
extern "C" {
std::size_t __sanitizer_get_current_allocated_bytes();
int __sanitizer_install_malloc_and_free_hooks(
    void (*malloc_hook)(const volatile void*, std::size_t),
    void (*free_hook)(const volatile void*));
}
#endif

namespace {

// Some tests start threads.
std::atomic<std::size_t> peak_bytes{0};

void RaisePeak(std::size_t bytes) {
  std::size_t peak = peak_bytes;
  while (bytes > peak && !peak_bytes.compare_exchange_weak(peak, bytes)) {
  }
}

}  // namespace

#ifdef __SANITIZE_ADDRESS__

// The sanitizer's own operators check that each memory is returned the way it
// was taken.

namespace daisyarch {

std::size_t LiveHeapBytes() {
  return __sanitizer_get_current_allocated_bytes();
}

void ResetHeapPeak() {
  static const int installed = __sanitizer_install_malloc_and_free_hooks(
      [](const volatile void*, std::size_t) { RaisePeak(LiveHeapBytes()); },
      [](const volatile void*) {});
  static_cast<void>(installed);
  peak_bytes = LiveHeapBytes();
}

}  // namespace daisyarch

#else

namespace {

std::atomic<std::size_t> live_bytes{0};

}  // namespace

void* operator new(std::size_t size) {
  void* memory = std::malloc(size);
  if (memory == nullptr) throw std::bad_alloc();
  RaisePeak(live_bytes += malloc_usable_size(memory));
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

void ResetHeapPeak() { peak_bytes = live_bytes.load(); }

}  // namespace daisyarch

#endif

namespace daisyarch {

std::size_t PeakHeapBytes() { return peak_bytes; }

}  // namespace daisyarch
