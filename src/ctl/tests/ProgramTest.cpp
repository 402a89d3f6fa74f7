#include "ctl/Program.h"
#include "Fleet.h"

#include <httplib.h>

#include <arpa/inet.h>
#include <fstream>
#include <sstream>
#include <sys/socket.h>
#include <thread>
#include <unistd.h>

using namespace briarspar;
using namespace briarspar::ctl;
using namespace briarspar::ctl::testing;

namespace {

/// The operator interface of a VM, served over HTTP on a free loopback port.
class FakeVm {
public:
  FakeVm() {
    Http.Post(operator_language::OperatorPath,
              [this](const httplib::Request &request, httplib::Response &response) {
                if (request.get_header_value("Authorization") != "Bearer secret") {
                  response.status = 401;
                  return;
                }
                response.set_content(encode(decide(Store, request.body)), "application/json");
              });
    Port = Http.bind_to_any_port("127.0.0.1");
    Runner = std::thread([this] { Http.listen_after_bind(); });
    while (!Http.is_running())
      std::this_thread::yield();
  }
  ~FakeVm() {
    Http.stop();
    Runner.join();
  }
  std::string address() const { return "127.0.0.1:" + std::to_string(Port); }

  config::ConfigStore Store;

private:
  httplib::Server Http;
  int Port = 0;
  std::thread Runner;
};

/// A peer that accepts connections and never answers. It either closes them or keeps them open.
class UnresponsivePeer {
public:
  explicit UnresponsivePeer(bool closes) : Socket(::socket(AF_INET, SOCK_STREAM, 0)) {
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    socklen_t size = sizeof(address);
    auto *generic = reinterpret_cast<sockaddr *>(&address);
    cr_assert_eq(::bind(Socket, generic, size), 0);
    cr_assert_eq(::listen(Socket, 4), 0);
    ::getsockname(Socket, generic, &size);
    Port = ntohs(address.sin_port);
    if (closes)
      Runner = std::thread([this] {
        int connection = ::accept(Socket, nullptr, nullptr);
        char buf[4096];
        (void)::recv(connection, buf, sizeof(buf), 0);
        ::close(connection);
      });
  }
  ~UnresponsivePeer() {
    if (Runner.joinable())
      Runner.join();
    ::close(Socket);
  }
  int Port = 0;

private:
  int Socket;
  std::thread Runner;
};

/// A file that is removed by the destructor.
class TemporaryFile {
public:
  explicit TemporaryFile(const std::string &content) {
    char name[] = "/tmp/briarsparctl-test-XXXXXX";
    int fd = ::mkstemp(name);
    ::close(fd);
    Path = name;
    std::ofstream(Path) << content;
  }
  ~TemporaryFile() { ::unlink(Path.c_str()); }
  std::string Path;
};

struct RunResult {
  int Code;
  std::string Out;
  std::string Err;
};

RunResult run(const std::vector<std::string> &arguments, const std::string &input = "",
              bool isTerminal = false) {
  std::vector<const char *> argv{"briarsparctl"};
  for (const std::string &it : arguments)
    argv.push_back(it.c_str());
  std::istringstream in(input);
  std::ostringstream out;
  std::ostringstream err;
  int code = runProgram(static_cast<int>(argv.size()), argv.data(), {in, out, err, isTerminal});
  return {code, out.str(), err.str()};
}

} // namespace

/// Guards against a request whose path, key, body or response format differs from the operator
/// interface.
Test(Program, speaksHttp) {
  FakeVm vm;
  TemporaryFile key("secret\n");
  TemporaryFile script("create customer c rate 10 burst 5 weight 1\n");
  // Nothing listens on port 1, so the first server refuses the connection.
  std::vector<std::string> base{"--server",   "127.0.0.1:1", "--server",
                                vm.address(), "--key-file",  key.Path};
  auto with = [&](std::vector<std::string> more) {
    more.insert(more.begin(), base.begin(), base.end());
    return more;
  };
  cr_assert_eq(run(with({"--file", script.Path})).Code, 0);
  RunResult shown = run(with({"show", "customers", "--json"}));
  cr_assert_eq(shown.Code, 0);
  cr_assert_eq(core::Json::parse(shown.Out)[0]["name"], "c");
  cr_assert_eq(run(with({"update", "customer", "c", "rate", "7", "expect", "9"})).Code, 1);
  RunResult prompt = run(with({}), "show customers\n", true);
  cr_assert(prompt.Code == 0 && prompt.Out.find("briarspar> name") == 0);
  TemporaryFile wrong("other\n");
  RunResult refused = run({"--server", vm.address(), "--key-file", wrong.Path, "show", "keys"});
  cr_assert_eq(refused.Code, 1);
  cr_assert(refused.Err.find("operator key") != std::string::npos);
  cr_assert_eq(run({"--server", "127.0.0.1:1", "--key-file", key.Path, "show", "keys"}).Code, 3);
}

/// Guards against a request that may have arrived but is reported as not sent.
Test(Program, lostAnswersAreNotRefusals) {
  HttpTransportSettings settings;
  settings.ReadTimeout = core::Duration{50};
  HttpTransport transport("secret", settings);
  UnresponsivePeer closing(true);
  cr_assert_eq(transport.post({"127.0.0.1", closing.Port}, "{}").Result, HttpReply::Lost);
  UnresponsivePeer slow(false);
  cr_assert_eq(transport.post({"127.0.0.1", slow.Port}, "{}").Result, HttpReply::Lost);
  cr_assert_eq(transport.post({"127.0.0.1", 1}, "{}").Result, HttpReply::NotConnected);
}

/// Guards against invalid usage that reaches a server or returns a different exit code.
Test(Program, usageErrors) {
  TemporaryFile key("secret\n");
  TemporaryFile empty("");
  const std::vector<std::vector<std::string>> cases{
      {"--bogus"},
      {"show", "keys"},
      {"--server", "127.0.0.1", "--key-file", key.Path, "show", "keys"},
      {"--server", "127.0.0.1:99999", "--key-file", key.Path, "show", "keys"},
      {"--server", "127.0.0.1:1", "show", "keys"},
      {"--server", "127.0.0.1:1", "--key-file", empty.Path, "show", "keys"},
      {"--server", "127.0.0.1:1", "--key-file", key.Path},
      {"--server", "127.0.0.1:1", "--key-file", key.Path, "--file", "/nonexistent"},
      {"--server", "127.0.0.1:1", "--key-file", key.Path, "--file", key.Path, "show", "keys"},
      {"--server", "127.0.0.1:1", "--key-file", key.Path, "show", "everything"},
  };
  for (size_t n = 0; n < cases.size(); ++n) {
    RunResult result = run(cases[n]);
    cr_assert_eq(result.Code, 2, "case %zu", n);
    cr_assert(!result.Err.empty(), "case %zu", n);
  }
  cr_assert_eq(run({"--help"}).Code, 0);
  cr_assert_eq(run({"help"}).Code, 0);
}

/// Guards against statements missing in the completion script.
Test(Program, completionCoversTheStatements) {
  RunResult result = run({"completion", "bash"});
  cr_assert_eq(result.Code, 0);
  cr_assert(result.Out.find("undrain) words=\"domain expect id region target vm\"") !=
            std::string::npos);
  cr_assert(result.Out.find("complete -o default -F _briarsparctl briarsparctl") !=
            std::string::npos);
}
