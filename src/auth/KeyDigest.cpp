#include "auth/KeyDigest.h"

#include "absl/strings/escaping.h"

#include <openssl/crypto.h>
#include <openssl/sha.h>

namespace briarspar::auth {

static_assert(std::tuple_size_v<config::KeyDigest> == SHA256_DIGEST_LENGTH);

config::KeyDigest digestOfKey(std::string_view key) {
  config::KeyDigest digest;
  ::SHA256(reinterpret_cast<const unsigned char *>(key.data()), key.size(), digest.data());
  return digest;
}

bool equalInConstantTime(const config::KeyDigest &a, const config::KeyDigest &b) {
  return ::CRYPTO_memcmp(a.data(), b.data(), a.size()) == 0;
}

bool matches(const config::KeyDigest &digest, std::string_view key) {
  return equalInConstantTime(digest, digestOfKey(key));
}

std::string toHex(const config::KeyDigest &digest) {
  return absl::BytesToHexString(std::string(digest.begin(), digest.end()));
}

} // namespace briarspar::auth
