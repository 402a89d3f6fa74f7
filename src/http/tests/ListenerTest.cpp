#include "http/Listener.h"

#include <criterion/criterion.h>

#include <sys/resource.h>

#include <vector>

using namespace briarspar;
using namespace briarspar::http;

namespace {

struct EventCounter final : core::EventSink {
  void emit(core::Event) override { ++Events; }
  int Events = 0;
};

} // namespace

/// Without free descriptors accept fails at once. The listener must not retry in a busy loop, and
/// it must accept connections again once descriptors are available.
Test(Listener, retriesAfterDelayWithoutDescriptors) {
  asio::io_context io;
  EventCounter events;
  std::vector<asio::ip::tcp::socket> accepted;
  Listener listener(io, events,
                    [&](asio::ip::tcp::socket socket) { accepted.push_back(std::move(socket)); });
  cr_assert(listener.start("127.0.0.1", 0).ok());
  asio::ip::tcp::socket caller(io);
  caller.connect({asio::ip::make_address("127.0.0.1"), listener.port()});
  rlimit before{};
  cr_assert_eq(getrlimit(RLIMIT_NOFILE, &before), 0);
  rlimit none = before;
  none.rlim_cur = 0;
  cr_assert_eq(setrlimit(RLIMIT_NOFILE, &none), 0);
  // Without a delay, every handler that runs would be a failed accept.
  size_t handlers = 0;
  while (events.Events < 2 && handlers < 20)
    handlers += io.run_one();
  cr_assert_leq(events.Events, 2);
  cr_assert_geq(handlers, 3, "the retry timer must expire between two failed accepts");
  cr_assert_eq(setrlimit(RLIMIT_NOFILE, &before), 0);
  while (accepted.empty())
    io.run_one();
  cr_assert_eq(accepted.size(), 1);
}

/// Guards against a planned stop that resets connections which callers have already opened.
Test(Listener, stopAcceptsWaitingConnections) {
  asio::io_context io;
  EventCounter events;
  std::vector<asio::ip::tcp::socket> accepted;
  Listener listener(io, events,
                    [&](asio::ip::tcp::socket socket) { accepted.push_back(std::move(socket)); });
  cr_assert(listener.start("127.0.0.1", 0).ok());
  constexpr size_t Callers = 20;
  std::vector<asio::ip::tcp::socket> callers;
  for (size_t n = 0; n < Callers; ++n) {
    callers.emplace_back(io);
    callers.back().connect({asio::ip::make_address("127.0.0.1"), listener.port()});
  }
  listener.stopAfterPending();
  io.poll();
  cr_assert_eq(accepted.size(), Callers);
  asio::ip::tcp::socket late(io);
  asio::error_code ec;
  late.connect({asio::ip::make_address("127.0.0.1"), listener.port()}, ec);
  cr_assert(ec == asio::error::connection_refused);
}
