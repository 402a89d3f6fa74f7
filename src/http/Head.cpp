#include "http/Head.h"

#include "absl/strings/str_cat.h"
#include "core/Text.h"

#include <http_parser.h>

#include <algorithm>
#include <array>

namespace briarspar::http {

namespace {

constexpr std::array<std::string_view, 8> HopByHop{
    "connection", "keep-alive", "proxy-connection",  "te",
    "trailer",    "upgrade",    "transfer-encoding", "content-length"};

} // namespace

bool sameName(std::string_view a, std::string_view b) { return core::equalsIgnoreCase(a, b); }

std::optional<std::string_view> Head::find(std::string_view name) const {
  for (const Header &it : Headers)
    if (sameName(it.Name, name))
      return it.Value;
  return std::nullopt;
}

size_t Head::count(std::string_view name) const {
  return std::count_if(Headers.begin(), Headers.end(),
                       [&](const Header &it) { return sameName(it.Name, name); });
}

void Head::add(std::string_view name, std::string_view value) {
  Headers.push_back({std::string(name), std::string(value)});
}

void Head::remove(std::string_view name) {
  Headers.erase(std::remove_if(Headers.begin(), Headers.end(),
                               [&](const Header &it) { return sameName(it.Name, name); }),
                Headers.end());
}

bool isHopByHop(const Head &head, std::string_view name) {
  for (std::string_view it : HopByHop)
    if (sameName(it, name))
      return true;
  for (const Header &it : head.Headers)
    if (sameName(it.Name, "connection"))
      for (std::string_view token : core::split(it.Value, ','))
        if (sameName(core::trim(token), name))
          return true;
  return false;
}

std::optional<std::string_view> cookie(const Head &head, std::string_view name) {
  for (const Header &header : head.Headers) {
    if (!sameName(header.Name, "cookie"))
      continue;
    for (std::string_view pair : core::split(header.Value, ';')) {
      pair = core::trim(pair);
      size_t equals = pair.find('=');
      if (equals != std::string_view::npos && pair.substr(0, equals) == name)
        return pair.substr(equals + 1);
    }
  }
  return std::nullopt;
}

std::string writeHead(const Head &head) {
  std::string out;
  if (head.Status != 0)
    absl::StrAppend(&out, "HTTP/1.1 ", head.Status, " ", std::string(reasonPhrase(head.Status)),
                    "\r\n");
  else
    absl::StrAppend(&out, head.Method, " ", head.Target, " HTTP/1.1\r\n");
  for (const Header &it : head.Headers)
    absl::StrAppend(&out, it.Name, ": ", it.Value, "\r\n");
  bool mayOmitLength = head.Status == 0 || head.Status == 204 || head.Status == 304;
  if (head.BodyFraming == Framing::Chunked)
    absl::StrAppend(&out, "Transfer-Encoding: chunked\r\n");
  else if (head.BodyFraming == Framing::Length ||
           (head.BodyFraming == Framing::NoBody && !mayOmitLength))
    absl::StrAppend(&out, "Content-Length: ", head.BodyLength, "\r\n");
  if (!head.KeepAlive)
    absl::StrAppend(&out, "Connection: close\r\n");
  absl::StrAppend(&out, "\r\n");
  return out;
}

std::string chunkStart(size_t bytes) { return absl::StrCat(absl::Hex(bytes), "\r\n"); }

std::string_view reasonPhrase(int status) {
  switch (status) {
#define BRIARSPAR_STATUS(Number, Name, Text)                                                       \
  case Number:                                                                                     \
    return #Text;
    HTTP_STATUS_MAP(BRIARSPAR_STATUS)
#undef BRIARSPAR_STATUS
  default:
    return "Unknown";
  }
}

} // namespace briarspar::http
