#pragma once

#include "absl/status/status.h"
#include "absl/status/statusor.h"

#include <algorithm>
#include <string>
#include <string_view>
#include <vector>

namespace briarspar::auth {

/// True for the header names that carry a key: Authorization, Proxy-Authorization and X-Api-Key, in
/// any case and with '_' for '-', which some back ends treat alike.
bool isCredentialHeader(std::string_view name);

/// Returns the key that one header carries, or an empty view.
std::string_view keyFromHeader(std::string_view name, std::string_view value);

/// A presented key of at least this many bytes is also removed from other headers and parameters. A
/// shorter text is no key of this system and could match by chance.
constexpr size_t MinSearchedKeyBytes = 16;

/// True if `text` holds one of the keys, literally or percent-encoded.
bool containsKey(std::string_view text, const std::vector<std::string> &keys);

/// Removes from the request target (`PATH?QUERY`) the `api_key` parameters, in any case and
/// encoding and with '-' for '_', and every parameter that holds one of the keys. Returns
/// InvalidArgument if the path holds one of the keys; it must not be forwarded then.
absl::Status stripRequestTarget(std::string &target, const std::vector<std::string> &keys);

/// Returns all keys in the headers. `Headers` is a container of (name, value) pairs.
template <class Headers> std::vector<std::string> extractKeys(const Headers &headers) {
  std::vector<std::string> keys;
  for (const auto &[name, value] : headers)
    if (std::string_view key = keyFromHeader(name, value); !key.empty())
      keys.emplace_back(key);
  return keys;
}

/// Returns the key that came with the request (`Authorization: Bearer KEY` or `X-Api-Key: KEY`).
/// Returns NotFound without a key, and InvalidArgument if two different keys came, because the
/// request would then belong to two customers.
template <class Headers> absl::StatusOr<std::string> presentedKey(const Headers &headers) {
  std::vector<std::string> keys = extractKeys(headers);
  if (keys.empty())
    return absl::NotFoundError("the request carries no key");
  if (std::any_of(keys.begin(), keys.end(), [&](const auto &key) { return key != keys[0]; }))
    return absl::InvalidArgumentError("the request carries different keys");
  return keys[0];
}

/// Removes the credential headers and every other header that holds one of the keys.
template <class Headers> void stripHeaders(Headers &headers, const std::vector<std::string> &keys) {
  for (auto it = headers.begin(); it != headers.end();) {
    if (isCredentialHeader(it->first) || containsKey(it->first, keys) ||
        containsKey(it->second, keys))
      it = headers.erase(it);
    else
      ++it;
  }
}

/// Removes the caller's keys from the headers, the request target and the trailers. Call it before
/// a request goes to a target; trailers that arrive later go through stripHeaders with
/// extractKeys(headers) taken before this call. Returns the error of stripRequestTarget.
template <class Headers>
absl::Status stripCredentials(Headers &headers, std::string &target, Headers &trailers) {
  std::vector<std::string> keys = extractKeys(headers);
  for (std::string &key : extractKeys(trailers))
    keys.push_back(std::move(key));
  stripHeaders(headers, keys);
  stripHeaders(trailers, keys);
  return stripRequestTarget(target, keys);
}

} // namespace briarspar::auth
