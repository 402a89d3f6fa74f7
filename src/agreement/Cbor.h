#pragma once

#include "absl/status/statusor.h"
#include "agreement/Configuration.h"
#include "agreement/Entry.h"
#include "agreement/VoterId.h"
#include "core/Codec.h"

#include <cstdint>
#include <string>
#include <string_view>

namespace briarspar::agreement {

/// Largest term, index, size or time accepted from outside, so that later arithmetic cannot wrap.
constexpr uint64_t MaxEncodedNumber = uint64_t{1} << 60;

/// Readers for decoded CBOR. nlohmann-json converts between number types silently; these throw a
/// nlohmann exception for a missing member, another type or a number above MaxEncodedNumber.
uint64_t readNumber(const core::Json &j, const char *name);
bool readBool(const core::Json &j, const char *name);
std::string readBytes(const core::Json &j, const char *name);
std::string readText(const core::Json &j, const char *name);
const core::Json &readArray(const core::Json &j, const char *name);
VoterId readVoterId(const core::Json &j, const char *name);
Entry readEntry(const core::Json &j);
Configuration readConfiguration(const core::Json &j);

core::Json bytesJson(std::string_view bytes);
core::Json voterIdJson(const VoterId &id);
core::Json entryJson(const Entry &entry);
core::Json configurationJson(const Configuration &configuration);

/// Throws the exception that the readers throw, with this text.
[[noreturn]] void throwInvalidContent(const std::string &why);

/// Decodes CBOR and converts it with `read`, turning exceptions into InvalidArgument.
template <class Read>
auto decodeWith(std::string_view bytes, const Read &read)
    -> absl::StatusOr<decltype(read(core::Json()))> {
  absl::StatusOr<core::Json> value = core::decodeCbor(bytes);
  if (!value.ok())
    return value.status();
  try {
    return read(*value);
  } catch (const nlohmann::json::exception &e) {
    return absl::InvalidArgumentError(e.what());
  }
}

} // namespace briarspar::agreement
