#include "config/Validation.h"

#include "absl/strings/ascii.h"
#include "absl/strings/numbers.h"
#include "config/Command.h"
#include "config/Text.h"

#include <algorithm>
#include <arpa/inet.h>

namespace briarspar::config {

namespace {

constexpr size_t MaxPathBytes = 256;

bool isNameByte(char c) {
  return absl::ascii_isalnum(static_cast<unsigned char>(c)) || c == '.' || c == '_' || c == '-';
}

bool isPathByte(char c) {
  return absl::ascii_isgraph(static_cast<unsigned char>(c)) && c != '?' && c != '#' && c != '%';
}

bool isIp(const std::string &host, int family) {
  in6_addr address{};
  return ::inet_pton(family, host.c_str(), &address) == 1;
}

} // namespace

std::string checkName(std::string_view what, std::string_view name) {
  if (name.empty())
    return concat(what, " is empty");
  if (name.size() > MaxNameBytes)
    return concat(what, " is longer than ", MaxNameBytes, " bytes");
  if (!absl::ascii_isalnum(static_cast<unsigned char>(name[0])) ||
      !std::all_of(name.begin(), name.end(), isNameByte))
    return concat(what, " must start with a letter or digit and hold only letters, digits, "
                        "'.', '_' and '-'");
  return {};
}

std::string checkAddress(std::string_view what, std::string_view address) {
  size_t colon = address.rfind(':');
  uint32_t port = 0;
  bool portOk = colon != std::string_view::npos && address.size() - colon <= 6 &&
                std::all_of(address.begin() + static_cast<ptrdiff_t>(colon) + 1, address.end(),
                            [](unsigned char c) { return absl::ascii_isdigit(c); }) &&
                absl::SimpleAtoi(std::string(address.substr(colon + 1)), &port) && port >= 1 &&
                port <= 65535;
  if (portOk) {
    std::string host(address.substr(0, colon));
    if (isIp(host, AF_INET))
      return {};
    if (host.size() > 2 && host.front() == '[' && host.back() == ']' &&
        isIp(host.substr(1, host.size() - 2), AF_INET6))
      return {};
  }
  return concat(what, " must be IP:PORT or [IP]:PORT");
}

std::string checkBlock(std::string_view block) {
  std::string error = concat("block must be an IPv4 prefix such as 10.1.0.0/16");
  size_t slash = block.find('/');
  if (slash == std::string_view::npos)
    return error;
  std::string_view digits = block.substr(slash + 1);
  in_addr address{};
  uint32_t length = 0;
  // Accept only one notation per block; inet_pton rejects leading zeros in the address.
  bool ok = !digits.empty() && digits.size() <= 2 && (digits[0] != '0' || digits == "0") &&
            std::all_of(digits.begin(), digits.end(),
                        [](unsigned char c) { return absl::ascii_isdigit(c); }) &&
            absl::SimpleAtoi(std::string(digits), &length) && length <= 32 &&
            ::inet_pton(AF_INET, std::string(block.substr(0, slash)).c_str(), &address) == 1;
  if (!ok)
    return error;
  uint64_t hostBits = (uint64_t{1} << (32 - length)) - 1;
  return (ntohl(address.s_addr) & hostBits) == 0
             ? ""
             : concat("block ", block, " has bits set beyond its length");
}

std::string checkPathPrefix(std::string_view prefix) {
  if (prefix.empty() || prefix[0] != '/')
    return "path must start with '/'";
  if (prefix.size() > MaxPathBytes)
    return concat("path is longer than ", MaxPathBytes, " bytes");
  if (!std::all_of(prefix.begin(), prefix.end(), isPathByte))
    return "path must be printable ASCII without space, '?', '#' and '%'";
  return {};
}

std::string checkReason(std::string_view reason) {
  if (reason.size() > MaxReasonBytes)
    return concat("reason is longer than ", MaxReasonBytes, " bytes");
  if (std::any_of(reason.begin(), reason.end(),
                  [](unsigned char c) { return absl::ascii_iscntrl(c); }))
    return "reason holds control characters";
  return {};
}

std::string checkRange(std::string_view what, int64_t value, int64_t min, int64_t max) {
  if (value >= min && value <= max)
    return {};
  return concat(what, " must be from ", min, " to ", max);
}

} // namespace briarspar::config
