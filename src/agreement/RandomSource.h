#pragma once

#include <cstdint>

namespace briarspar::agreement {

/// Source of the random part of election timeouts. Called on the replica's thread.
class RandomSource {
public:
  virtual ~RandomSource() = default;

  /// Returns a uniformly distributed number.
  virtual uint64_t next() = 0;
};

} // namespace briarspar::agreement
