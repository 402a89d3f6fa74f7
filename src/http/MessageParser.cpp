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

bool isFieldValue(std::string_view text) {
  for (unsigned char c : text)
    if ((c < 0x20 && c != '\t') || c == 0x7f)
      return false;
  return true;
}

} // namespace

struct MessageParser::State {
  State(Kind kind, size_t maxHeadBytes, MessageListener &listener)
      : What(kind), MaxHeadBytes(maxHeadBytes), Listener(listener) {
    restart();
  }

  void restart() {
    http_parser_init(&Parser, What == Requests ? HTTP_REQUEST : HTTP_RESPONSE);
    Parser.data = this;
    Current = {};
    Value = false;
    HeadBytes = 0;
    Started = false;
    HeadDone = false;
    Ended = false;
    UntilClose = false;
  }

  /// Ends the header whose value was read last.
  void startName() {
    if (Value) {
      Current.Headers.emplace_back();
      Value = false;
    } else if (Current.Headers.empty()) {
      Current.Headers.emplace_back();
    }
  }

  int headComplete() {
    for (Header &it : Current.Headers) {
      it.Value = std::string(core::trim(it.Value));
      if (!isToken(it.Name) || !isFieldValue(it.Value))
        return fail("a header is malformed");
    }
    Current.Http10 = Parser.http_major == 1 && Parser.http_minor == 0;
    Current.KeepAlive = http_should_keep_alive(&Parser) != 0;
    bool chunked = (Parser.flags & F_CHUNKED) != 0;
    bool hasLength = Parser.content_length != std::numeric_limits<uint64_t>::max();
    if (What == Requests) {
      Current.Method = http_method_str(static_cast<http_method>(Parser.method));
      if (Current.find("transfer-encoding") && !chunked)
        return fail("the transfer encoding is unknown");
    } else {
      Current.Status = Parser.status_code;
    }
    bool bodyless = What == Responses && (NoBody || Current.Status / 100 == 1 ||
                                          Current.Status == 204 || Current.Status == 304);
    if (bodyless)
      Current.BodyFraming = Framing::NoBody;
    else if (chunked)
      Current.BodyFraming = Framing::Chunked;
    else if (hasLength && (Parser.content_length > 0 || What == Responses)) {
      Current.BodyFraming = Framing::Length;
      Current.BodyLength = Parser.content_length;
    } else if (What == Responses)
      Current.BodyFraming = Framing::UntilClose;
    if (headBytes() > MaxHeadBytes)
      return fail("the head is too long");
    HeadDone = true;
    UntilClose = Current.BodyFraming == Framing::UntilClose;
    bool interim = What == Responses && Current.Status / 100 == 1;
    if (!interim)
      Listener.onHead(std::move(Current));
    Interim = interim;
    Current = {};
    return bodyless ? 1 : 0;
  }

  size_t headBytes() const {
    size_t n = Current.Target.size();
    for (const Header &it : Current.Headers)
      n += it.Name.size() + it.Value.size() + 4; // Colon, space and line end.
    return n;
  }

  int fail(std::string_view reason) {
    Reason = std::string(reason);
    return -1;
  }

  Kind What;
  size_t MaxHeadBytes;
  MessageListener &Listener;
  http_parser Parser{};
  Head Current;
  bool Value = false; ///< The last header of Current has (part of) its value.
  size_t HeadBytes = 0;
  bool Started = false;
  bool HeadDone = false;
  bool Ended = false;
  bool NoBody = false;
  bool UntilClose = false; ///< The body ends with the connection.
  bool Interim = false;    ///< The message is a 1xx answer, which is skipped.
  std::string Reason;
  absl::Status Failure;
};

MessageParser::MessageParser(Kind kind, size_t maxHeadBytes, MessageListener &listener)
    : Self(std::make_unique<State>(kind, maxHeadBytes, listener)) {}

MessageParser::~MessageParser() = default;

absl::Status MessageParser::feed(std::string_view bytes, size_t &used) {
  static const http_parser_settings callbacks = [] {
    http_parser_settings it;
    http_parser_settings_init(&it);
    it.on_url = [](http_parser *p, const char *at, size_t n) {
      static_cast<State *>(p->data)->Current.Target.append(at, n);
      return 0;
    };
    it.on_header_field = [](http_parser *p, const char *at, size_t n) {
      auto *self = static_cast<State *>(p->data);
      if (self->HeadDone)
        return 0; // A trailer.
      self->startName();
      self->Current.Headers.back().Name.append(at, n);
      return 0;
    };
    it.on_header_value = [](http_parser *p, const char *at, size_t n) {
      auto *self = static_cast<State *>(p->data);
      if (self->HeadDone)
        return 0;
      self->Value = true;
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
  if (!Self->Failure.ok())
    return Self->Failure;
  while (used < bytes.size()) {
    std::string_view rest = bytes.substr(used);
    Self->Started = true;
    bool insideHead = !Self->HeadDone;
    size_t n = http_parser_execute(&Self->Parser, &callbacks, rest.data(), rest.size());
    http_errno error = HTTP_PARSER_ERRNO(&Self->Parser);
    if (error != HPE_OK && error != HPE_PAUSED) {
      Self->Failure = absl::InvalidArgumentError(
          Self->Reason.empty() ? http_errno_description(error) : Self->Reason);
      return Self->Failure;
    }
    used += n;
    if (insideHead)
      Self->HeadBytes += n;
    if (insideHead && !Self->HeadDone && Self->HeadBytes > Self->MaxHeadBytes) {
      Self->Failure = absl::ResourceExhaustedError("the head is too long");
      return Self->Failure;
    }
    if (Self->Ended) {
      bool interim = Self->Interim;
      bool noBody = Self->NoBody;
      Self->restart();
      if (interim)
        continue;
      if (noBody)
        Self->NoBody = false;
      Self->Listener.onEnd();
      return absl::OkStatus();
    }
    if (n == 0)
      break;
  }
  return absl::OkStatus();
}

absl::Status MessageParser::finish() {
  if (!Self->Failure.ok() || !Self->Started)
    return Self->Failure;
  if (!Self->HeadDone || !Self->UntilClose) {
    Self->Failure = absl::InvalidArgumentError("the connection ended inside a message");
    return Self->Failure;
  }
  Self->restart();
  Self->Listener.onEnd();
  return absl::OkStatus();
}

void MessageParser::expectNoBody() { Self->NoBody = true; }
bool MessageParser::isInsideMessage() const { return Self->Started; }
bool MessageParser::isInsideHead() const { return Self->Started && !Self->HeadDone; }
void MessageParser::setMaxHeadBytes(size_t bytes) { Self->MaxHeadBytes = bytes; }

} // namespace briarspar::http
