#include "core/Hash.h"

#include <xxhash.h>

namespace briarspar::core {

uint64_t hash64(std::string_view bytes, uint64_t seed) {
  return XXH3_64bits_withSeed(bytes.data(), bytes.size(), seed);
}

} // namespace briarspar::core
