#include "forwarding/HttpServer.h"
#include "core/testing/Property.h"
#include "forwarding/Problem.h"

#include <atomic>
#include <memory>
#include <thread>
#include <vector>

using namespace briarspar;
using namespace briarspar::forwarding;

namespace {

struct Fixture {
  explicit Fixture(HttpServerSettings settings = {})
      : Server(settings, [this](const httplib::Request &req, httplib::Response &res) {
          ++Handled;
          res.set_content(req.body, "text/plain");
        }) {
    cr_assert(Server.start().ok());
  }

  httplib::Client client() const { return httplib::Client("127.0.0.1", Server.port()); }

  std::atomic<int> Handled{0};
  HttpServer Server;
};

} // namespace

/// A body beyond MaxBodyBytes must neither be buffered nor reach the handler.
Test(HttpServer, tooLargeBodyIsRejectedAsNotRun) {
  HttpServerSettings settings;
  settings.MaxBodyBytes = 1000;
  Fixture f(settings);
  auto result = f.client().Post("/x", std::string(5000, 'x'), "text/plain");
  cr_assert(result);
  cr_assert_eq(result->status, 413);
  cr_assert(result->get_header_value("Briarspar-Outcome") == "not-run");
  cr_assert_eq(f.Handled.load(), 0);
}

/// Request smuggling: two parsers can read different requests from two body lengths.
Test(HttpServer, conflictingLengthsAreRejected) {
  Fixture f;
  httplib::Headers headers{{"Content-Length", "3"}, {"Content-Length", "4"}};
  httplib::Request req;
  req.method = "POST";
  req.path = "/x";
  req.headers = headers;
  req.body = "abcd";
  auto result = f.client().send(req);
  cr_assert(!result || result->status == 400);
  cr_assert_eq(f.Handled.load(), 0);
}

/// Simultaneous callers must not see refused or reset connections.
Test(HttpServer, simultaneousCallersAreAllAnswered) {
  HttpServerSettings settings;
  settings.MaxConnections = 128;
  Fixture f(settings);
  std::atomic<int> good{0};
  std::vector<std::thread> callers;
  for (int n = 0; n < 100; ++n)
    callers.emplace_back([&] {
      auto result = f.client().Post("/x", "body", "text/plain");
      good += result && result->body == "body" ? 1 : 0;
    });
  for (std::thread &it : callers)
    it.join();
  cr_assert_eq(good.load(), 100);
}

/// A connection beyond MaxConnections must get a 503 instead of waiting for a thread.
Test(HttpServer, connectionBeyondLimitIsRefused) {
  HttpServerSettings settings;
  settings.MaxConnections = 1;
  Fixture f(settings);
  httplib::Client first("127.0.0.1", f.Server.port());
  first.set_keep_alive(true);
  cr_assert_eq(first.Get("/x")->status, 200);
  auto second = f.client().Get("/x");
  cr_assert(second);
  cr_assert_eq(second->status, 503);
  cr_assert(second->get_header_value("Briarspar-Outcome") == "not-run");
}

/// A request must not be lost because the server stops while its caller connects.
Test(HttpServer, stopDuringNewConnectionsLosesNoRequest, .timeout = 60) {
  Fixture f;
  std::atomic<int> answered{0};
  std::atomic<int> cut{0};
  auto call = [&] {
    while (true) {
      auto result = f.client().Post("/x", "body", "text/plain");
      if (result.error() == httplib::Error::Connection)
        return;
      (result && result->body == "body" ? answered : cut) += 1;
    }
  };
  std::vector<std::thread> callers;
  for (int n = 0; n < 16; ++n)
    callers.emplace_back(call);
  while (answered < 200)
    std::this_thread::yield();
  f.Server.stop();
  for (std::thread &it : callers)
    it.join();
  cr_assert_eq(cut.load(), 0);
}

/// stop() must not wait for the idle time-out of keep-alive connections, and after
/// closeAfterResponses() a keep-alive connection must be closed with its next response.
Test(HttpServer, keepAliveConnectionsCloseWithTheServer, .timeout = 60) {
  HttpServerSettings settings;
  settings.IdleTimeout = core::Duration::seconds(3600);
  Fixture f(settings);
  httplib::Client idle = f.client();
  idle.set_keep_alive(true);
  cr_assert_eq(idle.Get("/x")->status, 200);
  f.Server.closeAfterResponses();
  httplib::Client active = f.client();
  active.set_keep_alive(true);
  cr_assert(active.Get("/x")->get_header_value("Connection") == "close");
  f.Server.stop();
  cr_assert(!idle.Get("/x"));
}

/// Every refusal code must have a row in the table and a unique name.
Test(Problem, everyCodeHasARow) {
  std::vector<std::string_view> names;
  for (int n = 0; n <= static_cast<int>(RefusalCode::OutcomeUnknown); ++n)
    names.push_back(refusalInfo(static_cast<RefusalCode>(n)).Name);
  std::sort(names.begin(), names.end());
  cr_assert(std::adjacent_find(names.begin(), names.end()) == names.end());
}
