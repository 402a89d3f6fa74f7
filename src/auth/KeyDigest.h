#pragma once

#include "config/Records.h"

#include <string>
#include <string_view>

namespace briarspar::auth {

/// SHA-256 digest of a key. A digest without salt is enough, because keys are 256 random bits.
config::KeyDigest digestOfKey(std::string_view key);

/// Compares in time that does not depend on the content.
bool equalInConstantTime(const config::KeyDigest &a, const config::KeyDigest &b);

/// True if `key` has this digest, compared in constant time.
bool matches(const config::KeyDigest &digest, std::string_view key);

/// Lower-case hexadecimal form.
std::string toHex(const config::KeyDigest &digest);

} // namespace briarspar::auth
