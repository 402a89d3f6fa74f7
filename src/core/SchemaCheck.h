#pragma once

#include "absl/status/status.h"
#include "core/Codec.h"

#include <string_view>

namespace briarspar::core {

/// Checks a document against a JSON schema. The error lists every problem with its JSON path, one a
/// line.
absl::Status checkSchema(const Json &document, std::string_view schemaText);

} // namespace briarspar::core
