#include "forwarding/HttpServer.h"

#include "absl/strings/str_cat.h"
#include "forwarding/Problem.h"

#include <sys/socket.h>

#include <condition_variable>
#include <deque>
#include <mutex>
#include <vector>

namespace briarspar::forwarding {

namespace {

/// httplib listens with a backlog of 5, with which many simultaneous callers would see resets.
constexpr int ListenBacklog = 1024;

/// Number of threads that answer connections beyond MaxConnections with 503.
constexpr size_t OverflowThreads = 4;

/// Requests per connection before it is closed. With httplib's default of 5, every fifth request
/// would pay for a connection setup.
constexpr size_t MaxRequestsPerConnection = 1'000'000;

thread_local bool IsOverflowThread = false;

/// Whether the handler was called for the current request of this thread.
thread_local bool HandlerRan = false;

/// Serves connections on a fixed number of threads. If all of them are busy, a connection goes to
/// the overflow threads.
class BoundedTaskQueue final : public httplib::TaskQueue {
public:
  explicit BoundedTaskQueue(size_t threads) : Idle(threads) {
    for (size_t n = 0; n < threads; ++n)
      Threads.emplace_back([this] { work(Tasks, TasksChanged, /*overflow=*/false); });
    for (size_t n = 0; n < OverflowThreads; ++n)
      Threads.emplace_back([this] { work(OverflowTasks, OverflowChanged, /*overflow=*/true); });
  }

  void enqueue(std::function<void()> task) override {
    std::lock_guard<std::mutex> lock(Mutex);
    if (Idle > 0) {
      --Idle;
      Tasks.push_back(std::move(task));
      TasksChanged.notify_one();
    } else {
      OverflowTasks.push_back(std::move(task));
      OverflowChanged.notify_one();
    }
  }

  void shutdown() override {
    {
      std::lock_guard<std::mutex> lock(Mutex);
      Stopping = true;
    }
    TasksChanged.notify_all();
    OverflowChanged.notify_all();
    for (std::thread &thread : Threads)
      thread.join();
  }

private:
  using Queue = std::deque<std::function<void()>>;

  void work(Queue &queue, std::condition_variable &changed, bool overflow) {
    IsOverflowThread = overflow;
    std::unique_lock<std::mutex> lock(Mutex);
    while (true) {
      changed.wait(lock, [&] { return Stopping || !queue.empty(); });
      if (queue.empty())
        return;
      std::function<void()> task = std::move(queue.front());
      queue.pop_front();
      lock.unlock();
      task();
      lock.lock();
      if (!overflow)
        ++Idle;
    }
  }

  std::mutex Mutex;
  std::condition_variable TasksChanged;
  std::condition_variable OverflowChanged;
  size_t Idle;
  bool Stopping = false;
  Queue Tasks;
  Queue OverflowTasks;
  std::vector<std::thread> Threads;
};

/// Returns whether the body length is specified twice. Two parsers could then disagree on the end
/// of the body, which allows request smuggling.
bool hasConflictingLengths(const httplib::Request &req) {
  size_t lengths = req.get_header_value_count("Content-Length");
  bool chunked = req.has_header("Transfer-Encoding");
  return lengths > 1 || (lengths > 0 && chunked);
}

void refuse(httplib::Response &res, RefusalCode code, const std::string &detail) {
  Refusal refusal;
  refusal.Code = code;
  refusal.Detail = detail;
  res.status = refusalInfo(code).Status;
  res.set_header("Briarspar-Outcome", std::string(outcomeName(refusal.Outcome)));
  res.set_header("Connection", "close");
  res.set_content(renderProblem(refusal, ""), "application/problem+json");
}

} // namespace

HttpServer::HttpServer(const HttpServerSettings &settings, Handler handler)
    : Settings(settings), OnRequest(std::move(handler)),
      Server({settings.IdleTimeout, settings.ReadTimeout, MaxRequestsPerConnection}) {
  Server.new_task_queue = [n = settings.MaxConnections] { return new BoundedTaskQueue(n); };
  Server.set_read_timeout(std::chrono::milliseconds(settings.ReadTimeout.Ms));
  Server.set_write_timeout(std::chrono::milliseconds(settings.ReadTimeout.Ms));
  Server.set_payload_max_length(settings.MaxBodyBytes);
  Server.set_tcp_nodelay(true);
  Server.set_socket_options([this](socket_t sock) {
    int yes = 1;
    ::setsockopt(sock, SOL_SOCKET, SO_REUSEADDR, &yes, sizeof yes);
    Listener = sock;
  });
  installHandlers();
}

HttpServer::~HttpServer() { stop(); }

void HttpServer::installHandlers() {
  auto handler = [this](const httplib::Request &req, httplib::Response &res) {
    onRequest(req, res);
  };
  const char *any = ".*";
  Server.Get(any, handler);
  Server.Post(any, handler);
  Server.Put(any, handler);
  Server.Patch(any, handler);
  Server.Delete(any, handler);
  Server.Options(any, handler);
  Server.set_pre_routing_handler([](const httplib::Request &, httplib::Response &) {
    HandlerRan = false;
    return httplib::Server::HandlerResponse::Unhandled;
  });
  // httplib rejects some requests before they reach the handler; these did not run.
  httplib::Server::Handler onError = [](const httplib::Request &, httplib::Response &res) {
    if (HandlerRan)
      return;
    int status = res.status;
    refuse(res, status == 413 ? RefusalCode::BodyTooLarge : RefusalCode::BadRequest, "");
    res.status = status;
  };
  Server.set_error_handler(onError);
}

void HttpServer::onRequest(const httplib::Request &req, httplib::Response &res) {
  HandlerRan = true;
  if (IsOverflowThread)
    refuse(res, RefusalCode::Overloaded, "too many connections");
  else if (hasConflictingLengths(req))
    refuse(res, RefusalCode::BadRequest, "conflicting body lengths");
  else if (req.is_multipart_form_data())
    refuse(res, RefusalCode::UnsupportedBody, "multipart bodies are not forwarded");
  else
    OnRequest(req, res);
}

absl::Status HttpServer::start() {
  if (Settings.Port == 0) {
    Port = Server.bind_to_any_port(Settings.Host);
    if (Port <= 0)
      return absl::UnavailableError(absl::StrCat("cannot bind ", Settings.Host));
  } else {
    if (!Server.bind_to_port(Settings.Host, Settings.Port))
      return absl::UnavailableError(
          absl::StrCat("cannot bind ", Settings.Host, ":", Settings.Port));
    Port = Settings.Port;
  }
  ::listen(Listener, ListenBacklog);
  Acceptor = std::thread([this] { Server.listen_after_bind(); });
  while (!Server.is_running())
    std::this_thread::sleep_for(std::chrono::milliseconds(1));
  return absl::OkStatus();
}

void HttpServer::stop() {
  if (!Acceptor.joinable())
    return;
  Server.finishAccepting(Listener);
  Server.closeIdle();
  Server.stop();
  Acceptor.join();
}

} // namespace briarspar::forwarding
