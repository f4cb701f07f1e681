#include "base/stable_hash.h"

namespace daisyarch {

namespace {

constexpr std::uint64_t kFnvOffset = 0xcbf29ce484222325ULL;
constexpr std::uint64_t kFnvPrime = 0x100000001b3ULL;

// The 64-bit finalizer of MurmurHash3. FNV-1a alone gives similar inputs
// similar high bits, which rendezvous hashing compares first.
std::uint64_t Finalize(std::uint64_t value) {
  value ^= value >> 33;
  value *= 0xff51afd7ed558ccdULL;
  value ^= value >> 33;
  value *= 0xc4ceb9fe1a85ec53ULL;
  value ^= value >> 33;
  return value;
}

}  // namespace

std::uint64_t StableHash(std::string_view text) {
  std::uint64_t hash = kFnvOffset;
  for (const char character : text) {
    hash ^= static_cast<unsigned char>(character);
    hash *= kFnvPrime;
  }
  return Finalize(hash);
}

std::uint64_t CombineHashes(std::uint64_t first, std::uint64_t second) {
  return Finalize(first * kFnvPrime ^ second);
}

}  // namespace daisyarch
