#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace briarspar::http {

struct Header {
  std::string Name;
  std::string Value;
};

/// How the length of a message body is determined.
enum class Framing : uint8_t { NoBody, Length, Chunked, UntilClose };

/// Start line and headers of a message.
struct Head {
  std::string Method; ///< Requests only.
  std::string Target; ///< Requests only: path and query, as on the request line.
  int Status = 0;     ///< Responses only: status code.
  std::vector<Header> Headers;
  Framing BodyFraming = Framing::NoBody;
  uint64_t BodyLength = 0; ///< In bytes, if BodyFraming is Length.
  /// Responses only: the reason or a header's value contains a status line, so this may be the
  /// beginning of one response that was cut, joined with the end of another one.
  bool MayBeJoined = false;
  bool KeepAlive = true; ///< Whether the connection persists after the message.
  bool Http10 = false;   ///< The sender uses HTTP/1.0, which has no chunked encoding.

  /// Returns the first value of a header. The name is case-insensitive.
  std::optional<std::string_view> find(std::string_view name) const;

  /// Returns the number of headers with this name.
  size_t count(std::string_view name) const;

  void add(std::string_view name, std::string_view value);
  void remove(std::string_view name);
};

/// Compares two header names, ignoring case.
bool sameName(std::string_view a, std::string_view b);

/// Returns whether a header applies to a single connection and must not be forwarded. This includes
/// the headers listed in the Connection header of `head`.
bool isHopByHop(const Head &head, std::string_view name);

/// Returns the value of a cookie in the Cookie headers of a request.
std::optional<std::string_view> cookie(const Head &head, std::string_view name);

/// Serializes the request line or status line, all headers of `head` and the empty line. The
/// framing headers are derived from BodyFraming, BodyLength and KeepAlive; Headers must not contain
/// them.
std::string writeHead(const Head &head);

/// Returns the size line that precedes the data of a chunk.
std::string chunkStart(size_t bytes);
constexpr std::string_view ChunkEnd = "\r\n";
constexpr std::string_view LastChunk = "0\r\n\r\n";

/// Returns the standard reason phrase of a status code.
std::string_view reasonPhrase(int status);

} // namespace briarspar::http
