#pragma once

#include "config/Records.h"
#include "core/Ids.h"

#include <cstdint>
#include <optional>
#include <string_view>
#include <unordered_map>

namespace briarspar::auth {

/// Verifies keys against one configuration version. Immutable, so that request threads can share
/// it; a new one is built when keys or customers change.
class KeyVerifier {
public:
  KeyVerifier() = default;
  explicit KeyVerifier(const config::Records &records);

  /// Returns the customer of the key, or nullopt for an unknown or withdrawn key.
  std::optional<core::CustomerId> verify(std::string_view key) const;

  size_t size() const { return Keys.size(); }

private:
  struct Entry {
    config::KeyDigest Digest{};
    core::CustomerId Customer;
  };

  /// Indexed by the first 8 bytes of the digest. The lookup time reveals nothing about stored keys,
  /// because a caller cannot choose the digest of a key. Whole digests are compared in constant
  /// time.
  std::unordered_multimap<uint64_t, Entry> Keys;
};

} // namespace briarspar::auth
