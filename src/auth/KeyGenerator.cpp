#include "auth/KeyGenerator.h"

#include "absl/strings/escaping.h"
#include "auth/KeyDigest.h"

#include <array>
#include <openssl/rand.h>

namespace briarspar::auth {

absl::Status OpenSslRandomSource::fill(absl::Span<uint8_t> bytes) {
  if (::RAND_bytes(bytes.data(), static_cast<int>(bytes.size())) != 1)
    return absl::UnavailableError("the random generator of OpenSSL failed");
  return absl::OkStatus();
}

absl::StatusOr<GeneratedKey> generateKey(RandomSource &random) {
  std::array<uint8_t, KeyBytes> bits{};
  if (absl::Status status = random.fill(absl::MakeSpan(bits)); !status.ok())
    return status;
  std::string text = absl::WebSafeBase64Escape(std::string(bits.begin(), bits.end()));
  std::string key = "bsk_" + text;
  return GeneratedKey{key, digestOfKey(key)};
}

} // namespace briarspar::auth
