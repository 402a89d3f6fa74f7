#pragma once

#include "absl/status/statusor.h"
#include "core/Clock.h"
#include "core/Ids.h"

#include <nlohmann/json.hpp>

#include <cstddef>
#include <string>
#include <string_view>

namespace briarspar::core {

using Json = nlohmann::json;

/// Limits for decoding untrusted CBOR.
struct CodecLimits {
  size_t MaxBytes = 16 * 1024 * 1024; ///< Maximum size of a message.
  size_t MaxDepth = 32;               ///< Maximum nesting depth of maps and arrays.
};

/// Encodes a JSON value as CBOR.
std::string encodeCbor(const Json &value);

/// Decodes CBOR. Returns InvalidArgument for malformed input and ResourceExhausted when a limit is
/// exceeded. Never throws.
absl::StatusOr<Json> decodeCbor(std::string_view bytes, const CodecLimits &limits = {});

/// Decodes CBOR into a type with a `from_json` function. Returns InvalidArgument when a member is
/// missing or has the wrong type.
template <class T>
absl::StatusOr<T> decodeCborAs(std::string_view bytes, const CodecLimits &limits = {}) {
  absl::StatusOr<Json> value = decodeCbor(bytes, limits);
  if (!value.ok())
    return value.status();
  try {
    return value->get<T>();
  } catch (const nlohmann::json::exception &e) {
    return absl::InvalidArgumentError(e.what());
  }
}

/// Durations are encoded as whole milliseconds.
inline void to_json(Json &j, const Duration &d) { j = d.Ms; }
inline void from_json(const Json &j, Duration &d) { j.get_to(d.Ms); }

template <class Tag> void to_json(Json &j, const StringId<Tag> &id) { j = id.Value; }
template <class Tag> void from_json(const Json &j, StringId<Tag> &id) { j.get_to(id.Value); }
template <class Tag> void to_json(Json &j, const NumberId<Tag> &id) { j = id.Value; }
template <class Tag> void from_json(const Json &j, NumberId<Tag> &id) { j.get_to(id.Value); }

} // namespace briarspar::core
