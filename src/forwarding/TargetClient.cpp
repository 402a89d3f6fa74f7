#include "forwarding/TargetClient.h"

#include "absl/strings/numbers.h"

#include <arpa/inet.h>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <chrono>
#include <thread>

namespace briarspar::forwarding {

namespace {

constexpr int NoContent = 204;
constexpr int NotModified = 304;

/// Returns whether the end of the response can be distinguished from a lost connection: its length
/// is known, it is chunked, or it has no body by definition.
bool isFramed(const TargetRequest &request, const httplib::Response &response) {
  return response.has_header("Content-Length") || response.has_header("Transfer-Encoding") ||
         request.Method == "HEAD" || response.status == NoContent || response.status == NotModified;
}

/// Delay before the next connection to a target that has closed one.
constexpr std::chrono::milliseconds ReconnectDelay(5);

/// Returns a connected socket, or -1 if the target accepts none within `timeout`.
int connectTo(const TargetAddress &address, core::Duration timeout) {
  sockaddr_in to{};
  to.sin_family = AF_INET;
  to.sin_port = htons(static_cast<uint16_t>(address.Port));
  if (::inet_pton(AF_INET, address.Host.c_str(), &to.sin_addr) != 1)
    return -1;
  int sock = ::socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
  if (sock < 0)
    return -1;
  int rc = ::connect(sock, reinterpret_cast<sockaddr *>(&to), sizeof to);
  if (rc != 0 && errno == EINPROGRESS) {
    pollfd wait{sock, POLLOUT, 0};
    int error = 1;
    socklen_t n = sizeof error;
    if (::poll(&wait, 1, static_cast<int>(timeout.Ms)) == 1)
      ::getsockopt(sock, SOL_SOCKET, SO_ERROR, &error, &n);
    rc = error;
  }
  if (rc == 0)
    return sock;
  ::close(sock);
  return -1;
}

} // namespace

TargetAddress parseTargetAddress(std::string_view text) {
  TargetAddress address;
  size_t colon = text.rfind(':');
  if (colon == std::string_view::npos)
    return address;
  int port = 0;
  std::string digits(text.substr(colon + 1));
  if (!absl::SimpleAtoi(digits, &port) || port <= 0 || port > 65535)
    return address;
  address.Host = std::string(text.substr(0, colon));
  address.Port = port;
  return address;
}

bool keepsAccepting(const TargetAddress &address, core::Duration window) {
  using SteadyClock = std::chrono::steady_clock;
  const auto end = SteadyClock::now() + std::chrono::milliseconds(window.Ms);
  for (;;) {
    const int sock = connectTo(address, window);
    if (sock < 0)
      return false;
    const auto left =
        std::chrono::duration_cast<std::chrono::milliseconds>(end - SteadyClock::now()).count();
    pollfd wait{sock, POLLRDHUP, 0};
    const bool closed = left > 0 && ::poll(&wait, 1, static_cast<int>(left)) == 1;
    ::close(sock);
    if (!closed)
      return true;
    std::this_thread::sleep_for(ReconnectDelay);
  }
}

void Cancellation::cancel() {
  std::lock_guard<std::mutex> lock(Mutex);
  Requested = true;
  if (Running)
    Running->stop();
}

bool Cancellation::isCanceled() const {
  std::lock_guard<std::mutex> lock(Mutex);
  return Requested;
}

bool Cancellation::attach(httplib::Client *client) {
  std::lock_guard<std::mutex> lock(Mutex);
  Running = client;
  return !Requested;
}

void Cancellation::detach() {
  std::lock_guard<std::mutex> lock(Mutex);
  Running = nullptr;
}

TargetClientPool::TargetClientPool(const core::Clock &clock, const TargetClientSettings &settings)
    : Clock(clock), Settings(settings) {}

TargetClientPool::~TargetClientPool() = default;

size_t TargetClientPool::idleConnections() const {
  std::lock_guard<std::mutex> lock(Mutex);
  size_t n = 0;
  for (const auto &[address, idle] : IdleByTarget)
    n += idle.size();
  return n;
}

std::unique_ptr<httplib::Client> TargetClientPool::acquire(const TargetAddress &address,
                                                           bool fresh) {
  if (!fresh) {
    std::lock_guard<std::mutex> lock(Mutex);
    std::deque<IdleConnection> &idle = IdleByTarget[address];
    // The most recently used connection is the least likely to have been closed by the target.
    while (!idle.empty()) {
      IdleConnection last = std::move(idle.back());
      idle.pop_back();
      if (Clock.now() - last.Since < Settings.MaxIdleTime)
        return std::move(last.Client);
      idle.clear();
    }
  }
  auto client = std::make_unique<httplib::Client>(address.Host, address.Port);
  client->set_keep_alive(true);
  client->set_tcp_nodelay(true);
  client->set_decompress(false);
  client->set_follow_location(false);
  return client;
}

void TargetClientPool::release(const TargetAddress &address,
                               std::unique_ptr<httplib::Client> client) {
  std::lock_guard<std::mutex> lock(Mutex);
  std::deque<IdleConnection> &idle = IdleByTarget[address];
  idle.push_back({std::move(client), Clock.now()});
  if (idle.size() > Settings.MaxIdlePerTarget)
    idle.pop_front();
}

TargetResponse TargetClientPool::exchange(const TargetAddress &address,
                                          const TargetRequest &request, core::Time deadline,
                                          Cancellation *cancellation) {
  TargetResponse response;
  if (Clock.now() >= deadline)
    return response;
  std::unique_ptr<httplib::Client> client = acquire(address, request.FreshConnection);
  if (cancellation && !cancellation->attach(client.get())) {
    cancellation->detach();
    return response;
  }
  bool reused = client->is_socket_open() != 0;
  response = sendRequest(*client, request, deadline);
  response.ReusedConnection = reused;
  if (cancellation) {
    cancellation->detach();
    if (cancellation->isCanceled() && response.Status != ExchangeStatus::NotSent &&
        response.Status != ExchangeStatus::Answered)
      response.Status = ExchangeStatus::Canceled;
  }
  bool canceled = cancellation && cancellation->isCanceled();
  // Requests on fresh connections never reuse one, so keeping these connections open would only use
  // up the target's connection limit.
  if (response.Status == ExchangeStatus::Answered && !canceled && !request.FreshConnection)
    release(address, std::move(client));
  return response;
}

TargetResponse TargetClientPool::sendRequest(httplib::Client &client, const TargetRequest &request,
                                             core::Time deadline) {
  TargetResponse response;
  core::Duration remaining = deadline - Clock.now();
  core::Duration connect = std::min(remaining, Settings.ConnectTimeout);
  client.set_connection_timeout(std::chrono::milliseconds(connect.Ms));
  client.set_read_timeout(std::chrono::milliseconds(remaining.Ms));
  client.set_write_timeout(std::chrono::milliseconds(remaining.Ms));

  httplib::Request out;
  out.method = request.Method;
  out.path = request.PathAndQuery;
  out.headers = request.Headers;
  out.body = request.Body;
  bool tooLarge = false;
  bool late = false;
  // httplib's read timeout applies to each read, so the deadline is also checked for each part of
  // the body.
  out.content_receiver = [&](const char *data, size_t n, uint64_t, uint64_t) {
    tooLarge = response.Body.size() + n > Settings.MaxResponseBytes;
    late = Clock.now() >= deadline;
    if (tooLarge || late)
      return false;
    response.Body.append(data, n);
    return true;
  };
  httplib::Result result = client.send(out);
  if (result && !isFramed(request, *result)) {
    response.Body.clear();
    response.Status = ExchangeStatus::ConnectionLost;
    return response;
  }
  if (result) {
    response.Status = ExchangeStatus::Answered;
    response.HttpStatus = result->status;
    response.Headers = std::move(result->headers);
    return response;
  }
  response.Body.clear();
  bool neverConnected = result.error() == httplib::Error::Connection ||
                        result.error() == httplib::Error::ConnectionTimeout ||
                        result.error() == httplib::Error::BindIPAddress;
  if (neverConnected)
    response.Status = ExchangeStatus::NotSent;
  else if (tooLarge)
    response.Status = ExchangeStatus::TooLarge;
  else if (late || Clock.now() >= deadline)
    response.Status = ExchangeStatus::TimedOut;
  else
    response.Status = ExchangeStatus::ConnectionLost;
  return response;
}

} // namespace briarspar::forwarding
