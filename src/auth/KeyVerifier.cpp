#include "auth/KeyVerifier.h"

#include "auth/KeyDigest.h"

#include <cstring>

namespace briarspar::auth {

namespace {

uint64_t prefixOf(const config::KeyDigest &digest) {
  uint64_t prefix = 0;
  std::memcpy(&prefix, digest.data(), sizeof(prefix));
  return prefix;
}

} // namespace

KeyVerifier::KeyVerifier(const config::Records &records) {
  Keys.reserve(records.Keys.size());
  for (const auto &[id, key] : records.Keys)
    if (config::find(records.Customers, key.Customer) != nullptr)
      Keys.emplace(prefixOf(key.Digest), Entry{key.Digest, key.Customer});
}

std::optional<core::CustomerId> KeyVerifier::verify(std::string_view key) const {
  if (key.empty())
    return std::nullopt;
  config::KeyDigest digest = digestOfKey(key);
  auto [it, end] = Keys.equal_range(prefixOf(digest));
  for (; it != end; ++it)
    if (equalInConstantTime(it->second.Digest, digest))
      return it->second.Customer;
  return std::nullopt;
}

} // namespace briarspar::auth
