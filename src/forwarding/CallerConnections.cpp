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

/// Time allowed to complete TCP handshakes that began before the listener started to drop SYN
/// packets: several round trips to a caller 10 ms away.
constexpr core::Duration HandshakeTimeout{200};

/// Interval at which the accept queue is checked.
constexpr core::Duration AcceptPollInterval{5};

/// Maximum wait for the caller to close its side of a connection that this side has shut down.
/// Closing a socket with unread data sends a reset, which can discard the response on its way.
constexpr core::Duration LingerTimeout{200};

constexpr uint32_t TcpFlagsOffset = 13;
constexpr uint32_t TcpSynFlag = 0x02;
constexpr uint32_t TcpAckFlag = 0x10;
constexpr uint32_t AcceptPacket = 0xffffffff;

/// Attaches a BPF filter to the listener that drops SYN packets without ACK. The caller's kernel
/// retransmits the SYN after a second, when the listener is closed, and the connection is refused.
bool dropSynPackets(socket_t listener) {
  std::array<sock_filter, 5> code{{
      BPF_STMT(BPF_LD | BPF_B | BPF_ABS, TcpFlagsOffset),
      BPF_STMT(BPF_ALU | BPF_AND | BPF_K, TcpSynFlag | TcpAckFlag),
      BPF_JUMP(BPF_JMP | BPF_JEQ | BPF_K, TcpSynFlag, 0, 1),
      BPF_STMT(BPF_RET | BPF_K, 0),
      BPF_STMT(BPF_RET | BPF_K, AcceptPacket),
  }};
  sock_fprog program{code.size(), code.data()};
  return ::setsockopt(listener, SOL_SOCKET, SO_ATTACH_FILTER, &program, sizeof program) == 0;
}

void sleepFor(core::Duration time) {
  std::this_thread::sleep_for(std::chrono::milliseconds(time.Ms));
}

/// Shuts down the sending side, discards incoming data until the caller closes or LingerTimeout
/// expires, and closes the socket.
void lingeringClose(socket_t sock) {
  std::array<char, 4096> buf;
  ::shutdown(sock, SHUT_WR);
  core::SteadyClock clock;
  core::Time last = clock.now() + LingerTimeout;
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
  dropSynPackets(listener);
  core::SteadyClock clock;
  core::Time end = clock.now() + HandshakeTimeout;
  while (clock.now() < end || waitForSocket(listener, POLLIN, core::Duration{0}))
    sleepFor(AcceptPollInterval);
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
  // A request that has already arrived is served even if idle connections must close.
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
  lingeringClose(sock);
  return true;
}

} // namespace briarspar::forwarding
