#pragma once

#include "core/Clock.h"

#include <httplib.h>

#include <array>
#include <string>

namespace briarspar::forwarding {

/// Waits until one of the poll events is signalled or the time-out expires. Returns whether an
/// event was signalled.
bool waitForSocket(socket_t sock, short events, core::Duration timeout);

/// A buffered byte stream over a connected socket, which it does not own. One stream serves all
/// requests of a connection, so that buffered bytes of a pipelined request are not lost.
class SocketStream final : public httplib::Stream {
public:
  SocketStream(socket_t sock, core::Duration timeout) : Sock(sock), Timeout(timeout) {}

  /// Returns whether received bytes have not been read yet.
  bool hasBufferedBytes() const { return Begin < End; }

  bool is_readable() const override;
  bool is_writable() const override;
  ssize_t read(char *ptr, size_t size) override;
  ssize_t write(const char *ptr, size_t size) override;
  void get_remote_ip_and_port(std::string &ip, int &port) const override;
  void get_local_ip_and_port(std::string &ip, int &port) const override;
  socket_t socket() const override { return Sock; }

private:
  static constexpr size_t BufferBytes = 4096;

  socket_t Sock;
  core::Duration Timeout;
  std::array<char, BufferBytes> Buffer;
  size_t Begin = 0;
  size_t End = 0;
};

} // namespace briarspar::forwarding
