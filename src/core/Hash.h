#pragma once

#include <cstdint>
#include <string_view>

namespace briarspar::core {

/// Returns the 64-bit XXH3 hash of the bytes. Stable across processes and releases. Not a
/// cryptographic hash.
uint64_t hash64(std::string_view bytes, uint64_t seed = 0);

} // namespace briarspar::core
