#pragma once

#include <cstdint>
#include <string_view>

namespace briarspar::core {

/// 64-bit xxHash of the bytes. Stable across processes and releases; not for secrets.
uint64_t hash64(std::string_view bytes, uint64_t seed = 0);

} // namespace briarspar::core
