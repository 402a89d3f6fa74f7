#pragma once

#include <cstdint>
#include <string>
#include <string_view>

namespace briarspar::config {

/// Each function returns an empty string for a valid value, or an error message of one sentence.
/// `what` is the name of the value in the message.

/// A name: a letter or digit, then letters, digits, '.', '_' or '-', at most MaxNameBytes in all.
std::string checkName(std::string_view what, std::string_view name);

/// An address IP:PORT, or [IP]:PORT for IPv6, with a port from 1 to 65535.
std::string checkAddress(std::string_view what, std::string_view address);

/// An IPv4 prefix such as 10.1.0.0/16, with no host bits set.
std::string checkBlock(std::string_view block);

/// A path prefix: '/', then printable ASCII without space, '?', '#' or '%', at most 256 bytes.
std::string checkPathPrefix(std::string_view prefix);

/// A reason: at most MaxReasonBytes, no control characters.
std::string checkReason(std::string_view reason);

/// A number from `min` to `max`, inclusive.
std::string checkRange(std::string_view what, int64_t value, int64_t min, int64_t max);

} // namespace briarspar::config
