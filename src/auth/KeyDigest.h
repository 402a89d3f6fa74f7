#pragma once

#include "config/Records.h"

#include <string>
#include <string_view>

namespace briarspar::auth {

/// Returns the SHA-256 digest of a key. No salt is needed, because keys are 256 random bits.
config::KeyDigest digestOfKey(std::string_view key);

/// Compares in constant time, so that the time does not depend on the content.
bool equalInConstantTime(const config::KeyDigest &a, const config::KeyDigest &b);

/// Returns true if `key` has this digest. Compares in constant time.
bool matches(const config::KeyDigest &digest, std::string_view key);

/// Returns the digest in lower-case hexadecimal.
std::string toHex(const config::KeyDigest &digest);

} // namespace briarspar::auth
