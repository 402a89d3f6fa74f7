#pragma once

#include "absl/status/statusor.h"
#include "forwarding/TargetClient.h"

#include <httplib.h>

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace briarspar::daemon {

/// Fills in a request to a target from a caller's request. Removes credentials, hop-by-hop headers
/// and headers that only this system may set. Returns InvalidArgument if the path contains the API
/// key.
absl::Status fillTargetRequest(const httplib::Request &req, forwarding::TargetRequest &out);

/// Returns the load that a target reports with its answer, from 0 (idle) to 1000 (full), or nothing
/// if the header is absent or malformed.
std::optional<uint32_t> reportedLoad(const forwarding::TargetResponse &answer);

/// Copies a target's answer to a caller's response.
void writeAnswer(const forwarding::TargetResponse &answer, httplib::Response &res);

/// Encodes an answer as CBOR for storage.
std::string encodeAnswer(const forwarding::TargetResponse &answer);
absl::StatusOr<forwarding::TargetResponse> decodeAnswer(std::string_view bytes);

/// Returns an IPv4 address in host byte order, or 0 if the text is not an address.
uint32_t parseIpv4(const std::string &text);

} // namespace briarspar::daemon
