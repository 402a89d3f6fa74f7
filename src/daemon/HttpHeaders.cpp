#include "daemon/HttpHeaders.h"

#include "absl/strings/numbers.h"
#include "auth/Credentials.h"
#include "core/Codec.h"

#include <arpa/inet.h>
#include <strings.h>

#include <algorithm>
#include <array>

namespace briarspar::daemon {

namespace {

using forwarding::TargetResponse;

/// Hop-by-hop and framing headers, and headers that would make the target encode or truncate its
/// answer: the HTTP library itself applies ranges and encodings towards the caller. The last four
/// are added by the HTTP library.
constexpr std::array<std::string_view, 20> DroppedRequestHeaders{"connection",
                                                                 "keep-alive",
                                                                 "proxy-authenticate",
                                                                 "proxy-authorization",
                                                                 "proxy-connection",
                                                                 "te",
                                                                 "trailer",
                                                                 "transfer-encoding",
                                                                 "upgrade",
                                                                 "host",
                                                                 "content-length",
                                                                 "expect",
                                                                 "accept-encoding",
                                                                 "content-encoding",
                                                                 "range",
                                                                 "if-range",
                                                                 "remote_addr",
                                                                 "remote_port",
                                                                 "local_addr",
                                                                 "local_port"};

constexpr std::array<std::string_view, 8> DroppedAnswerHeaders{
    "connection",        "keep-alive", "proxy-authenticate", "te", "trailer",
    "transfer-encoding", "upgrade",    "content-length"};

/// Prefix of the headers that only this system may set.
constexpr std::string_view ReservedPrefix = "briarspar-";

constexpr uint32_t FullLoadPermille = 1000;

bool equalsIgnoringCase(std::string_view a, std::string_view b) {
  return a.size() == b.size() && ::strncasecmp(a.data(), b.data(), a.size()) == 0;
}

bool isReservedHeader(std::string_view name) {
  return equalsIgnoringCase(name.substr(0, ReservedPrefix.size()), ReservedPrefix);
}

template <size_t N>
bool isOneOf(const std::array<std::string_view, N> &names, std::string_view name) {
  return std::any_of(names.begin(), names.end(),
                     [&](std::string_view it) { return equalsIgnoringCase(it, name); });
}

} // namespace

absl::Status fillTargetRequest(const httplib::Request &req, forwarding::TargetRequest &out) {
  out.Method = req.method;
  out.PathAndQuery = req.target;
  out.Body = req.body;
  for (const auto &[name, value] : req.headers)
    if (!isOneOf(DroppedRequestHeaders, name) && !isReservedHeader(name))
      out.Headers.emplace(name, value);
  httplib::Headers trailers; // Empty: the HTTP library discards trailers.
  return auth::stripCredentials(out.Headers, out.PathAndQuery, trailers);
}

std::optional<uint32_t> reportedLoad(const TargetResponse &answer) {
  auto it = answer.Headers.find("Briarspar-Load");
  uint32_t permille = 0;
  if (it == answer.Headers.end() || !absl::SimpleAtoi(it->second, &permille) ||
      permille > FullLoadPermille)
    return std::nullopt;
  return permille;
}

void writeAnswer(const TargetResponse &answer, httplib::Response &res) {
  res.status = answer.HttpStatus;
  std::string type;
  for (const auto &[name, value] : answer.Headers) {
    if (isOneOf(DroppedAnswerHeaders, name) || isReservedHeader(name))
      continue;
    if (equalsIgnoringCase(name, "content-type"))
      type = value;
    else
      res.headers.emplace(name, value);
  }
  if (answer.Body.empty() && type.empty())
    return;
  res.set_content(answer.Body, type.empty() ? "application/octet-stream" : type);
}

std::string encodeAnswer(const TargetResponse &answer) {
  core::Json headers = core::Json::array();
  for (const auto &[name, value] : answer.Headers)
    headers.push_back({name, value});
  core::Json j = {{"status", answer.HttpStatus}, {"headers", headers}};
  j["body"] = core::Json::binary({answer.Body.begin(), answer.Body.end()});
  return core::encodeCbor(j);
}

absl::StatusOr<TargetResponse> decodeAnswer(std::string_view bytes) {
  absl::StatusOr<core::Json> j = core::decodeCbor(bytes);
  if (!j.ok())
    return j.status();
  try {
    TargetResponse answer;
    answer.Status = forwarding::ExchangeStatus::Answered;
    answer.HttpStatus = j->at("status").get<int>();
    for (const core::Json &it : j->at("headers"))
      answer.Headers.emplace(it.at(0).get<std::string>(), it.at(1).get<std::string>());
    const auto &body = j->at("body").get_binary();
    answer.Body.assign(body.begin(), body.end());
    return answer;
  } catch (const nlohmann::json::exception &e) {
    return absl::InvalidArgumentError(e.what());
  }
}

uint32_t parseIpv4(const std::string &text) {
  in_addr address{};
  if (::inet_pton(AF_INET, text.c_str(), &address) != 1)
    return 0;
  return ntohl(address.s_addr);
}

} // namespace briarspar::daemon
