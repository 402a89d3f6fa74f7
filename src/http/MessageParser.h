#pragma once

#include "absl/status/status.h"
#include "http/Head.h"

#include <cstddef>
#include <memory>
#include <string_view>

namespace briarspar::http {

/// Receives the parts of a message in order. The views end with the call.
class MessageListener {
public:
  virtual ~MessageListener() = default;
  virtual void onHead(Head head) = 0;
  virtual void onBody(std::string_view bytes) = 0;
  virtual void onEnd() = 0;
};

/// Parses the HTTP/1.1 messages of one direction of a connection from bytes as they arrive. It
/// stops after each message, so that the embedder decides when the next one is read.
class MessageParser {
public:
  enum Kind : uint8_t { Requests, Responses };

  /// `maxHeadBytes` bounds the bytes of a head.
  MessageParser(Kind kind, size_t maxHeadBytes, MessageListener &listener);
  ~MessageParser();

  /// Parses bytes up to the end of the current message and returns how many were used.
  /// Returns InvalidArgument for bytes that are no message, ResourceExhausted for a head that is
  /// too long. After an error every call fails.
  absl::Status feed(std::string_view bytes, size_t &used);

  /// Takes the orderly end of the connection. It ends a body without a length. Returns
  /// InvalidArgument when it cuts a message.
  absl::Status finish();

  /// The next answer has no body, as it belongs to a HEAD request.
  void expectNoBody();

  /// True from the first byte of a message to its end.
  bool isInsideMessage() const;

  /// True from the first byte of a message to the end of its head.
  bool isInsideHead() const;

  void setMaxHeadBytes(size_t bytes);

private:
  struct State;
  std::unique_ptr<State> Self;
};

} // namespace briarspar::http
