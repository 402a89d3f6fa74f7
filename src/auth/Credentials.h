#pragma once

#include "absl/status/status.h"
#include "absl/status/statusor.h"

#include <algorithm>
#include <string>
#include <string_view>
#include <vector>

namespace briarspar::auth {

/// Returns true for the header names that carry a key: Authorization, Proxy-Authorization and
/// X-Api-Key. Case is ignored, and '_' equals '-' because some back ends treat them as equal.
bool isCredentialHeader(std::string_view name);

/// Returns the key in a header, or an empty view if the header carries none.
std::string_view keyFromHeader(std::string_view name, std::string_view value);

/// Keys of at least this many bytes are also removed from other headers and query parameters. Keys
/// of this system are longer, and a shorter text could match unrelated content.
constexpr size_t MinSearchedKeyBytes = 16;

/// Returns true if `text` contains one of the keys, literally or percent-encoded.
bool containsKey(std::string_view text, const std::vector<std::string> &keys);

/// Removes the `api_key` parameters from a request target (`PATH?QUERY`), in any case and encoding
/// and with '-' for '_', and every parameter that contains one of the keys. Returns InvalidArgument
/// if the path contains a key; the request must not be forwarded in that case.
absl::Status stripRequestTarget(std::string &target, const std::vector<std::string> &keys);

/// Returns the keys in all headers. `Headers` is a container of (name, value) pairs.
template <class Headers> std::vector<std::string> extractKeys(const Headers &headers) {
  std::vector<std::string> keys;
  for (const auto &[name, value] : headers)
    if (std::string_view key = keyFromHeader(name, value); !key.empty())
      keys.emplace_back(key);
  return keys;
}

/// Returns the key of the request (`Authorization: Bearer KEY` or `X-Api-Key: KEY`). Returns
/// NotFound if there is none, and InvalidArgument for two different keys, because the customer
/// would be ambiguous.
template <class Headers> absl::StatusOr<std::string> presentedKey(const Headers &headers) {
  std::vector<std::string> keys = extractKeys(headers);
  if (keys.empty())
    return absl::NotFoundError("the request carries no key");
  if (std::any_of(keys.begin(), keys.end(), [&](const auto &key) { return key != keys[0]; }))
    return absl::InvalidArgumentError("the request carries different keys");
  return keys[0];
}

/// Removes the credential headers and every other header that contains one of the keys.
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
/// forwarding a request to a target. Trailers that arrive later must be passed to stripHeaders()
/// with the result of extractKeys(headers) from before this call. Returns the error of
/// stripRequestTarget().
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
