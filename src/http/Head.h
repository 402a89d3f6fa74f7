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

/// How the end of a body is marked.
enum class Framing : uint8_t { NoBody, Length, Chunked, UntilClose };

/// Everything of a message before its body.
struct Head {
  std::string Method; ///< Requests only.
  std::string Target; ///< Requests only: path and query.
  int Status = 0;     ///< Responses only.
  std::vector<Header> Headers;
  Framing BodyFraming = Framing::NoBody;
  uint64_t BodyLength = 0; ///< In bytes, when BodyFraming is Length.
  bool KeepAlive = true;   ///< The connection stays open after the message.
  bool Http10 = false;     ///< The sender speaks HTTP/1.0 and reads no chunks.

  /// Returns the first value of a header, whose name is compared without case.
  std::optional<std::string_view> find(std::string_view name) const;

  /// Returns how many headers have this name.
  size_t count(std::string_view name) const;

  void add(std::string_view name, std::string_view value);
  void remove(std::string_view name);
};

/// Compares two header names without case.
bool sameName(std::string_view a, std::string_view b);

/// True for headers that concern one connection and are not forwarded, among them those that the
/// Connection header of `head` names.
bool isHopByHop(const Head &head, std::string_view name);

/// Returns the value of a cookie of a request.
std::optional<std::string_view> cookie(const Head &head, std::string_view name);

/// Writes a request line or status line with all headers of `head` and the empty line. Headers of
/// the framing are written from Body, Length and KeepAlive, not from Headers.
std::string writeHead(const Head &head);

/// Returns the bytes that start, respectively end, a chunk of a chunked body.
std::string chunkStart(size_t bytes);
constexpr std::string_view ChunkEnd = "\r\n";
constexpr std::string_view LastChunk = "0\r\n\r\n";

/// Returns the usual phrase of a status.
std::string_view reasonPhrase(int status);

} // namespace briarspar::http
