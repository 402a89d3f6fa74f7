#pragma once

#include "absl/status/status.h"
#include "http/Head.h"

#include <cstddef>
#include <memory>
#include <string_view>

namespace briarspar::http {

/// Receives the parts of a message in order. String views are valid only during the call.
class MessageListener {
public:
  virtual ~MessageListener() = default;
  virtual void onHead(Head head) = 0;
  virtual void onBody(std::string_view bytes) = 0;
  virtual void onEnd() = 0;
};

/// Incremental parser for the HTTP/1.1 messages of one direction of a connection. It stops after
/// each message, so that the caller decides when to read the next one.
class MessageParser {
public:
  enum Kind : uint8_t { Requests, Responses };

  /// `maxHeadBytes` is the maximum size of a message head.
  MessageParser(Kind kind, size_t maxHeadBytes, MessageListener &listener);
  ~MessageParser();

  /// Parses bytes up to the end of the current message and sets `used` to the number consumed.
  /// Returns InvalidArgument for malformed input and ResourceExhausted for a head that is too long.
  /// After an error every call fails.
  absl::Status feed(std::string_view bytes, size_t &used);

  /// Handles the end of the stream, which completes a body framed by the end of the connection.
  /// Returns InvalidArgument if a message is truncated.
  absl::Status finish();

  /// Declares that the next response has no body, because it answers a HEAD request.
  void expectNoBody();

  /// Returns whether a message has started and is not complete.
  bool isInsideMessage() const;

  /// Returns whether a message has started and its head is not complete.
  bool isInsideHead() const;

  void setMaxHeadBytes(size_t bytes);

private:
  struct State;
  std::unique_ptr<State> Impl;
};

} // namespace briarspar::http
