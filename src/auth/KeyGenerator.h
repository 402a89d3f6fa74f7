#pragma once

#include "absl/status/status.h"
#include "absl/status/statusor.h"
#include "absl/types/span.h"
#include "config/Records.h"

#include <cstdint>
#include <string>

namespace briarspar::auth {

/// Source of random bytes for keys.
class RandomSource {
public:
  virtual ~RandomSource() = default;
  /// Fills the span. On an error its content is unspecified.
  virtual absl::Status fill(absl::Span<uint8_t> bytes) = 0;
};

/// The random generator of OpenSSL. Thread-safe.
class OpenSslRandomSource final : public RandomSource {
public:
  absl::Status fill(absl::Span<uint8_t> bytes) override;
};

struct GeneratedKey {
  std::string Key; ///< Shown to the operator once, never stored or logged.
  config::KeyDigest Digest{};
};

/// Number of random bytes in a key.
constexpr size_t KeyBytes = 32;

/// Generates a key: `bsk_` followed by KeyBytes random bytes in URL-safe base64. Returns the error
/// of the random source.
absl::StatusOr<GeneratedKey> generateKey(RandomSource &random);

} // namespace briarspar::auth
