#pragma once

#include <cstdint>
#include <string_view>

namespace daisyarch {

/// Returns a 64-bit hash that is the same in every process and build.
std::uint64_t StableHash(std::string_view text);

/// Combines two hashes into one; the result depends on their order.
std::uint64_t CombineHashes(std::uint64_t first, std::uint64_t second);

}  // namespace daisyarch
