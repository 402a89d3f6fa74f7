#pragma once

#include "absl/status/statusor.h"
#include "forwarding/TargetClient.h"

#include <httplib.h>

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace briarspar::daemon {

/// Fills the headers and the request target (path and query) that go to a target: no credentials,
/// nothing that belongs to the caller's connection, and nothing that only this system may set.
/// Returns InvalidArgument when the path itself holds the key.
absl::Status fillTargetRequest(const httplib::Request &req, forwarding::TargetRequest &out);

/// Returns the load that a target reports with its response, 0 (idle) to 1000 (full); nothing when
/// it reports none or the value is malformed.
std::optional<uint32_t> reportedLoad(const forwarding::TargetResponse &answer);

/// Copies a target's response to a caller's response.
void writeResponse(const forwarding::TargetResponse &answer, httplib::Response &res);

/// The stored form of a response, as CBOR.
std::string encodeResponse(const forwarding::TargetResponse &answer);
absl::StatusOr<forwarding::TargetResponse> decodeResponse(std::string_view bytes);

/// Returns an IPv4 address in host order, or 0 for other text.
uint32_t parseIpv4(const std::string &text);

} // namespace briarspar::daemon
