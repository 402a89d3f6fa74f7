#pragma once

#include "absl/status/status.h"
#include "core/Codec.h"

#include <string_view>

namespace briarspar::core {

/// Validates a document against a JSON schema. The error lists every violation with its JSON path,
/// one per line. The schema itself must be valid.
absl::Status checkSchema(const Json &document, std::string_view schemaText);

} // namespace briarspar::core
