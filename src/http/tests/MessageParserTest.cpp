#include "http/MessageParser.h"
#include "core/testing/Property.h"

using namespace briarspar::core;
using namespace briarspar::http;

namespace {

/// Records the calls of a parser.
struct RecordingListener final : MessageListener {
  void onHead(Head head) override { Heads.push_back(std::move(head)); }
  void onBody(std::string_view bytes) override { Body += bytes; }
  void onEnd() override { ++Ends; }

  std::vector<Head> Heads;
  std::string Body;
  int Ends = 0;
};

/// Feeds all bytes in fragments of `step` bytes.
absl::Status feedAll(MessageParser &parser, std::string_view bytes, size_t step) {
  while (!bytes.empty()) {
    size_t used = 0;
    absl::Status status = parser.feed(bytes.substr(0, step), used);
    if (!status.ok())
      return status;
    bytes.remove_prefix(used);
  }
  return absl::OkStatus();
}

} // namespace

/// The result must not depend on how TCP splits the messages.
Test(MessageParser, resultDoesNotDependOnFragmentation) {
  const std::string text = "POST /a/b?c=d HTTP/1.1\r\nHost: h\r\nCookie: x=1; object=17\r\n"
                           "Transfer-Encoding: chunked\r\n\r\n5\r\nhello\r\n0\r\n\r\n"
                           "GET /next HTTP/1.1\r\nHost: h\r\n\r\n";
  for (size_t step = 1; step <= text.size(); ++step) {
    RecordingListener out;
    MessageParser parser(MessageParser::Requests, 1000, out);
    cr_assert(feedAll(parser, text, step).ok());
    cr_assert_eq(out.Ends, 2);
    cr_assert_eq(out.Body, "hello");
    cr_assert_eq(out.Heads[0].Target, "/a/b?c=d");
    cr_assert(out.Heads[0].BodyFraming == Framing::Chunked);
    cr_assert(cookie(out.Heads[0], "object") == std::optional<std::string_view>("17"));
    cr_assert(out.Heads[1].BodyFraming == Framing::NoBody);
  }
}

/// Request smuggling: if two parsers disagree on the end of a body, a request can hide in another.
Test(MessageParser, ambiguousFramingIsRejected) {
  for (const char *headers :
       {"Content-Length: 5\r\nTransfer-Encoding: chunked\r\n",
        "Content-Length: 5\r\nContent-Length: 6\r\n", "Content-Length : 5\r\n",
        "Transfer-Encoding: gzip\r\n", "Content-Length: -1\r\n",
        "Transfer-Encoding: chunked\r\nContent-Length: 5\r\n"}) {
    RecordingListener out;
    MessageParser parser(MessageParser::Requests, 1000, out);
    std::string text = std::string("POST / HTTP/1.1\r\nHost: h\r\n") + headers + "\r\nhello";
    cr_assert_not(feedAll(parser, text, text.size()).ok(), "accepted: %s", headers);
  }
}

/// An endless head must not exhaust the memory.
Test(MessageParser, longHeadIsRejected) {
  for (size_t step : {1UL, 100UL, 5000UL}) {
    RecordingListener out;
    MessageParser parser(MessageParser::Requests, 1000, out);
    std::string text = "GET / HTTP/1.1\r\nHost: h\r\nX: " + std::string(2000, 'x') + "\r\n\r\n";
    cr_assert_not(feedAll(parser, text, step).ok());
    cr_assert(out.Heads.empty());
  }
}

/// A response truncated by a lost connection must not pass for a complete one.
Test(MessageParser, endOfConnectionEndsOnlyResponsesWithoutLength) {
  struct Case {
    const char *Text;
    bool Complete;
  };
  for (const Case &it :
       {Case{"HTTP/1.1 200 OK\r\n\r\nabc", true},
        Case{"HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nabc", false},
        Case{"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n", false},
        Case{"HTTP/1.1 200 OK\r\nX: y", false}}) {
    RecordingListener out;
    MessageParser parser(MessageParser::Responses, 1000, out);
    cr_assert(feedAll(parser, it.Text, 7).ok());
    cr_assert_eq(parser.finish().ok(), it.Complete, "%s", it.Text);
    cr_assert_eq(out.Ends, it.Complete ? 1 : 0);
  }
}

/// A 1xx response must not be taken for the final response.
Test(MessageParser, interimResponsesAreSkipped) {
  RecordingListener out;
  MessageParser parser(MessageParser::Responses, 1000, out);
  std::string text = "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok";
  cr_assert(feedAll(parser, text, text.size()).ok());
  cr_assert_eq(out.Heads.size(), 1);
  cr_assert_eq(out.Heads[0].Status, 200);
  cr_assert_eq(out.Body, "ok");
}

/// Malformed input from a caller or a faulty target must not terminate the process.
Test(MessageParser, arbitraryBytesNeverThrow) {
  testing::checkProperty("parsing returns a status", [](const std::vector<uint8_t> &bytes) {
    std::string buf = "HTTP/1.1 200 OK\r\n" + std::string(bytes.begin(), bytes.end());
    RecordingListener out;
    MessageParser parser(MessageParser::Responses, 100, out);
    (void)feedAll(parser, buf, 3);
    (void)parser.finish();
  });
}

/// Hop-by-hop headers must not be forwarded to the next connection.
Test(Head, hopByHopHeadersAreRecognised) {
  Head head;
  head.add("Connection", "close, X-Private");
  for (const char *it : {"connection", "Keep-Alive", "x-private", "Content-Length", "upgrade"})
    cr_assert(isHopByHop(head, it), "%s", it);
  cr_assert_not(isHopByHop(head, "X-Public"));
}

/// Guards against a response that was cut within its head and joined with the one that follows it.
Test(MessageParser, joinedResponsesAreNoticed) {
  const std::string rest = "\r\nX-Id: b\r\nContent-Length: 0\r\n\r\n";
  for (const char *next :
       {"HTTP/1.1 200 OK", "HTTP/1.1  200 OK", "HTTP/2.0 200 OK", "HTTP/1.0 404"})
    for (const char *first :
         {"HTTP/1.1 503 ", "HTTP/1.1 503 Unavail",
          "HTTP/1.0 503 No\r\nX-Not-Run: ", "HTTP/1.1 503 No\r\nX-Not-Run: 1"}) {
      RecordingListener out;
      MessageParser parser(MessageParser::Responses, 4096, out);
      const bool isValid = feedAll(parser, first + std::string(next) + rest, 7).ok();
      cr_assert(!isValid || out.Heads[0].MayBeJoined, "%s %s", first, next);
    }
  RecordingListener out;
  MessageParser parser(MessageParser::Responses, 4096, out);
  cr_assert(
      feedAll(parser, "HTTP/1.1 200 OK\r\nVia: HTTP/1.1 proxy\r\nContent-Length: 0\r\n\r\n", 7)
          .ok());
  cr_assert_eq(out.Heads.size(), 1);
  cr_assert_not(out.Heads[0].MayBeJoined);
}
