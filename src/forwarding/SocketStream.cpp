#include "forwarding/SocketStream.h"

#include <arpa/inet.h>
#include <netinet/in.h>
#include <poll.h>
#include <sys/socket.h>

#include <algorithm>
#include <cerrno>
#include <cstring>

namespace briarspar::forwarding {

namespace {

void formatAddress(const sockaddr_in &address, std::string &ip, int &port) {
  std::array<char, INET_ADDRSTRLEN> buf{};
  if (address.sin_family != AF_INET ||
      ::inet_ntop(AF_INET, &address.sin_addr, buf.data(), buf.size()) == nullptr)
    return;
  ip = buf.data();
  port = ntohs(address.sin_port);
}

} // namespace

bool waitForSocket(socket_t sock, short events, core::Duration timeout) {
  pollfd it{sock, events, 0};
  int n = 0;
  do
    n = ::poll(&it, 1, static_cast<int>(timeout.Ms));
  while (n < 0 && errno == EINTR);
  return n > 0;
}

bool SocketStream::is_readable() const {
  return hasBufferedBytes() || waitForSocket(Sock, POLLIN, Timeout);
}

bool SocketStream::is_writable() const { return waitForSocket(Sock, POLLOUT, Timeout); }

ssize_t SocketStream::read(char *ptr, size_t size) {
  if (!hasBufferedBytes()) {
    if (!is_readable())
      return -1;
    // Large reads bypass the buffer. httplib reads header lines byte by byte.
    if (size >= Buffer.size())
      return ::recv(Sock, ptr, size, 0);
    ssize_t n = ::recv(Sock, Buffer.data(), Buffer.size(), 0);
    if (n <= 0)
      return n;
    Begin = 0;
    End = static_cast<size_t>(n);
  }
  size_t n = std::min(size, End - Begin);
  std::memcpy(ptr, Buffer.data() + Begin, n);
  Begin += n;
  return static_cast<ssize_t>(n);
}

ssize_t SocketStream::write(const char *ptr, size_t size) {
  if (!is_writable())
    return -1;
  return ::send(Sock, ptr, size, MSG_NOSIGNAL);
}

void SocketStream::get_remote_ip_and_port(std::string &ip, int &port) const {
  sockaddr_in address{};
  socklen_t n = sizeof address;
  if (::getpeername(Sock, reinterpret_cast<sockaddr *>(&address), &n) == 0)
    formatAddress(address, ip, port);
}

void SocketStream::get_local_ip_and_port(std::string &ip, int &port) const {
  sockaddr_in address{};
  socklen_t n = sizeof address;
  if (::getsockname(Sock, reinterpret_cast<sockaddr *>(&address), &n) == 0)
    formatAddress(address, ip, port);
}

} // namespace briarspar::forwarding
