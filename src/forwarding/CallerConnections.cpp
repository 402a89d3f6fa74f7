#include "forwarding/CallerConnections.h"

#include "forwarding/SocketStream.h"

#include <linux/filter.h>
#include <poll.h>
#include <sys/eventfd.h>
#include <sys/socket.h>
#include <unistd.h>

#include <array>
#include <cerrno>
#include <thread>

namespace briarspar::forwarding {

namespace {

/// Time in which a caller completes a connection whose first packet arrived before new ones were
/// dropped: several round trips to a caller 10 ms away.
constexpr core::Duration HandshakeTime{200};

/// Interval at which the queue of accepted connections is looked at.
constexpr core::Duration AcceptPoll{5};

/// Longest wait for the caller's end of a connection that this side closes. Closing a socket with
/// unread bytes resets it, and a reset can overtake the answer.
constexpr core::Duration CloseTime{200};

constexpr uint32_t TcpFlagsOffset = 13;
constexpr uint32_t TcpSynFlag = 0x02;
constexpr uint32_t TcpAckFlag = 0x10;
constexpr uint32_t KeepPacket = 0xffffffff;

/// Drops the first packet of each new connection at the listener. The caller's kernel repeats it
/// after a second, when the listener is closed, and is refused then.
bool dropNewConnections(socket_t listener) {
  std::array<sock_filter, 5> code{{
      BPF_STMT(BPF_LD | BPF_B | BPF_ABS, TcpFlagsOffset),
      BPF_STMT(BPF_ALU | BPF_AND | BPF_K, TcpSynFlag | TcpAckFlag),
      BPF_JUMP(BPF_JMP | BPF_JEQ | BPF_K, TcpSynFlag, 0, 1),
      BPF_STMT(BPF_RET | BPF_K, 0),
      BPF_STMT(BPF_RET | BPF_K, KeepPacket),
  }};
  sock_fprog program{code.size(), code.data()};
  return ::setsockopt(listener, SOL_SOCKET, SO_ATTACH_FILTER, &program, sizeof program) == 0;
}

void sleepFor(core::Duration time) {
  std::this_thread::sleep_for(std::chrono::milliseconds(time.Ms));
}

/// Ends the connection and discards what the caller still sends, up to a bound.
void closeAfterCaller(socket_t sock) {
  std::array<char, 4096> buf;
  ::shutdown(sock, SHUT_WR);
  core::SteadyClock clock;
  core::Time last = clock.now() + CloseTime;
  for (core::Time now = clock.now(); now < last; now = clock.now())
    if (!waitForSocket(sock, POLLIN, last - now) || ::recv(sock, buf.data(), buf.size(), 0) <= 0)
      break;
  ::close(sock);
}

} // namespace

CallerConnections::CallerConnections(const Limits &limits)
    : ConnectionLimits(limits), CloseIdleEvent(::eventfd(0, EFD_CLOEXEC)) {}

CallerConnections::~CallerConnections() { ::close(CloseIdleEvent); }

void CallerConnections::finishAccepting(socket_t listener) {
  closeAfterResponses();
  dropNewConnections(listener);
  core::SteadyClock clock;
  core::Time end = clock.now() + HandshakeTime;
  while (clock.now() < end || waitForSocket(listener, POLLIN, core::Duration{0}))
    sleepFor(AcceptPoll);
}

void CallerConnections::closeIdle() {
  closeAfterResponses();
  uint64_t one = 1;
  [[maybe_unused]] ssize_t n = ::write(CloseIdleEvent, &one, sizeof one);
}

bool CallerConnections::waitForRequest(socket_t sock) const {
  std::array<pollfd, 2> fds{{{sock, POLLIN, 0}, {CloseIdleEvent, POLLIN, 0}}};
  int n = 0;
  do
    n = ::poll(fds.data(), fds.size(), static_cast<int>(ConnectionLimits.IdleTimeout.Ms));
  while (n < 0 && errno == EINTR);
  // A request that has arrived is served, even when idle connections are to close.
  return n > 0 && fds[0].revents != 0;
}

void CallerConnections::serve(socket_t sock) {
  SocketStream stream(sock, ConnectionLimits.ReadTimeout);
  for (size_t n = 1; n <= ConnectionLimits.MaxRequestsPerConnection; ++n) {
    if (!stream.hasBufferedBytes() && !waitForRequest(sock))
      return;
    bool last = Closing || n == ConnectionLimits.MaxRequestsPerConnection;
    bool closed = false;
    if (!process_request(stream, last, closed, nullptr) || closed || last)
      return;
  }
}

bool CallerConnections::process_and_close_socket(socket_t sock) {
  serve(sock);
  closeAfterCaller(sock);
  return true;
}

} // namespace briarspar::forwarding
