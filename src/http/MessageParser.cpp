#include "http/MessageParser.h"

#include "core/Text.h"

#include <http_parser.h>

#include <cctype>
#include <limits>
#include <utility>

namespace briarspar::http {

namespace {

bool isToken(std::string_view text) {
  if (text.empty())
    return false;
  for (unsigned char c : text)
    if (std::isalnum(c) == 0 &&
        std::string_view("!#$%&'*+-.^_`|~").find(static_cast<char>(c)) == std::string_view::npos)
      return false;
  return true;
}

/// Returns whether the text contains the beginning of a status line: "HTTP/", a version, blanks and
/// a digit.
bool containsStatusLine(std::string_view text) {
  constexpr std::string_view protocol = "HTTP/";
  for (size_t at = text.find(protocol); at != std::string_view::npos;
       at = text.find(protocol, at + 1)) {
    const size_t version = at + protocol.size();
    const size_t blank = text.find_first_not_of("0123456789.", version);
    if (blank == std::string_view::npos || blank == version || text[blank] != ' ')
      continue;
    const size_t status = text.find_first_not_of(' ', blank);
    if (status != std::string_view::npos &&
        std::isdigit(static_cast<unsigned char>(text[status])) != 0)
      return true;
  }
  return false;
}

bool isFieldValue(std::string_view text) {
  for (unsigned char c : text)
    if ((c < 0x20 && c != '\t') || c == 0x7f)
      return false;
  return true;
}

} // namespace

struct MessageParser::State {
  State(Kind kind, size_t maxHeadBytes, MessageListener &listener)
      : MessageKind(kind), MaxHeadBytes(maxHeadBytes), Listener(listener) {
    restart();
  }

  void restart() {
    http_parser_init(&Parser, MessageKind == Requests ? HTTP_REQUEST : HTTP_RESPONSE);
    Parser.data = this;
    Current = {};
    StatusReason.clear();
    HasValue = false;
    HeadBytes = 0;
    Started = false;
    HeadDone = false;
    Ended = false;
    UntilClose = false;
  }

  /// Starts a new header unless part of the current name was already read.
  void beginHeader() {
    if (HasValue) {
      Current.Headers.emplace_back();
      HasValue = false;
    } else if (Current.Headers.empty()) {
      Current.Headers.emplace_back();
    }
  }

  int headComplete() {
    for (Header &it : Current.Headers) {
      it.Value = std::string(core::trim(it.Value));
      if (!isToken(it.Name) || !isFieldValue(it.Value))
        return fail("malformed header");
      Current.MayBeJoined =
          Current.MayBeJoined || (MessageKind == Responses && containsStatusLine(it.Value));
    }
    Current.MayBeJoined = Current.MayBeJoined || containsStatusLine(StatusReason);
    Current.Http10 = Parser.http_major == 1 && Parser.http_minor == 0;
    Current.KeepAlive = http_should_keep_alive(&Parser) != 0;
    bool chunked = (Parser.flags & F_CHUNKED) != 0;
    bool hasLength = Parser.content_length != std::numeric_limits<uint64_t>::max();
    if (MessageKind == Requests) {
      Current.Method = http_method_str(static_cast<http_method>(Parser.method));
      if (Current.find("transfer-encoding") && !chunked)
        return fail("unsupported transfer encoding");
    } else {
      Current.Status = Parser.status_code;
    }
    bool bodyless = MessageKind == Responses && (NoBody || Current.Status / 100 == 1 ||
                                                 Current.Status == 204 || Current.Status == 304);
    if (bodyless)
      Current.BodyFraming = Framing::NoBody;
    else if (chunked)
      Current.BodyFraming = Framing::Chunked;
    else if (hasLength && (Parser.content_length > 0 || MessageKind == Responses)) {
      Current.BodyFraming = Framing::Length;
      Current.BodyLength = Parser.content_length;
    } else if (MessageKind == Responses)
      Current.BodyFraming = Framing::UntilClose;
    if (headBytes() > MaxHeadBytes)
      return fail("message head is too long");
    HeadDone = true;
    UntilClose = Current.BodyFraming == Framing::UntilClose;
    bool interim = MessageKind == Responses && Current.Status / 100 == 1;
    if (!interim)
      Listener.onHead(std::move(Current));
    Interim = interim;
    Current = {};
    return bodyless ? 1 : 0;
  }

  size_t headBytes() const {
    size_t n = Current.Target.size() + StatusReason.size();
    for (const Header &it : Current.Headers)
      n += it.Name.size() + it.Value.size() + 4; // ": " and CRLF.
    return n;
  }

  int fail(std::string_view reason) {
    Reason = std::string(reason);
    return -1;
  }

  Kind MessageKind;
  size_t MaxHeadBytes;
  MessageListener &Listener;
  http_parser Parser{};
  Head Current;
  std::string StatusReason; ///< Text after the status code of a response.
  bool HasValue = false;    ///< Part of the last header's value was read, so its name is complete.
  size_t HeadBytes = 0;
  bool Started = false;
  bool HeadDone = false;
  bool Ended = false;
  bool NoBody = false;
  bool UntilClose = false; ///< The end of the connection ends the body.
  bool Interim = false;    ///< The message is a 1xx response, which is skipped.
  std::string Reason;
  absl::Status Failure;
};

MessageParser::MessageParser(Kind kind, size_t maxHeadBytes, MessageListener &listener)
    : Impl(std::make_unique<State>(kind, maxHeadBytes, listener)) {}

MessageParser::~MessageParser() = default;

absl::Status MessageParser::feed(std::string_view bytes, size_t &used) {
  static const http_parser_settings callbacks = [] {
    http_parser_settings it;
    http_parser_settings_init(&it);
    it.on_url = [](http_parser *p, const char *at, size_t n) {
      static_cast<State *>(p->data)->Current.Target.append(at, n);
      return 0;
    };
    it.on_status = [](http_parser *p, const char *at, size_t n) {
      static_cast<State *>(p->data)->StatusReason.append(at, n);
      return 0;
    };
    it.on_header_field = [](http_parser *p, const char *at, size_t n) {
      auto *self = static_cast<State *>(p->data);
      if (self->HeadDone)
        return 0; // Trailers are dropped.
      self->beginHeader();
      self->Current.Headers.back().Name.append(at, n);
      return 0;
    };
    it.on_header_value = [](http_parser *p, const char *at, size_t n) {
      auto *self = static_cast<State *>(p->data);
      if (self->HeadDone)
        return 0;
      self->HasValue = true;
      self->Current.Headers.back().Value.append(at, n);
      return 0;
    };
    it.on_headers_complete = [](http_parser *p) {
      return static_cast<State *>(p->data)->headComplete();
    };
    it.on_body = [](http_parser *p, const char *at, size_t n) {
      static_cast<State *>(p->data)->Listener.onBody({at, n});
      return 0;
    };
    it.on_message_complete = [](http_parser *p) {
      static_cast<State *>(p->data)->Ended = true;
      http_parser_pause(p, 1);
      return 0;
    };
    return it;
  }();
  used = 0;
  if (!Impl->Failure.ok())
    return Impl->Failure;
  while (used < bytes.size()) {
    std::string_view rest = bytes.substr(used);
    Impl->Started = true;
    bool insideHead = !Impl->HeadDone;
    size_t n = http_parser_execute(&Impl->Parser, &callbacks, rest.data(), rest.size());
    http_errno error = HTTP_PARSER_ERRNO(&Impl->Parser);
    if (error != HPE_OK && error != HPE_PAUSED) {
      Impl->Failure = absl::InvalidArgumentError(
          Impl->Reason.empty() ? http_errno_description(error) : Impl->Reason);
      return Impl->Failure;
    }
    used += n;
    if (insideHead)
      Impl->HeadBytes += n;
    if (insideHead && !Impl->HeadDone && Impl->HeadBytes > Impl->MaxHeadBytes) {
      Impl->Failure = absl::ResourceExhaustedError("message head is too long");
      return Impl->Failure;
    }
    if (Impl->Ended) {
      bool interim = Impl->Interim;
      bool noBody = Impl->NoBody;
      Impl->restart();
      if (interim)
        continue;
      if (noBody)
        Impl->NoBody = false;
      Impl->Listener.onEnd();
      return absl::OkStatus();
    }
    if (n == 0)
      break;
  }
  return absl::OkStatus();
}

absl::Status MessageParser::finish() {
  if (!Impl->Failure.ok() || !Impl->Started)
    return Impl->Failure;
  if (!Impl->HeadDone || !Impl->UntilClose) {
    Impl->Failure = absl::InvalidArgumentError("connection closed before the end of the message");
    return Impl->Failure;
  }
  Impl->restart();
  Impl->Listener.onEnd();
  return absl::OkStatus();
}

void MessageParser::expectNoBody() { Impl->NoBody = true; }
bool MessageParser::isInsideMessage() const { return Impl->Started; }
bool MessageParser::isInsideHead() const { return Impl->Started && !Impl->HeadDone; }
void MessageParser::setMaxHeadBytes(size_t bytes) { Impl->MaxHeadBytes = bytes; }

} // namespace briarspar::http
