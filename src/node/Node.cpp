#include "node/Node.h"

#include "http/BufferedServer.h"
#include "link/Messages.h"
#include "node/EventLoop.h"
#include "observability/EventMetrics.h"
#include "observability/StreamLog.h"
#include "platform/OperatorApi.h"
#include "platform/TargetListFormat.h"
#include "transport/Transport.h"

#include <asio/io_context.hpp>
#include <asio/signal_set.hpp>
#include <asio/steady_timer.hpp>

#include <sys/stat.h>

#include <chrono>
#include <csignal>
#include <fstream>
#include <sstream>

namespace briarspar::node {

namespace {

/// Interval at which the settings file is checked for changes and the log is flushed.
constexpr std::chrono::milliseconds HousekeepingInterval{500};

uint64_t wallClockMs() {
  using namespace std::chrono;
  return static_cast<uint64_t>(
      duration_cast<milliseconds>(system_clock::now().time_since_epoch()).count());
}

std::string readFile(const std::string &file) {
  std::ifstream in(file);
  std::ostringstream text;
  text << in.rdbuf();
  return text.str();
}

transport::TransportSettings transportSettings(const NodeSettings &settings) {
  transport::TransportSettings out;
  out.Self = settings.Vm;
  out.Incarnation = core::Incarnation(wallClockMs());
  out.Listen = {settings.Vm.Value, settings.PeerPort};
  out.Secret = settings.Secret;
  out.Kinds = {link::kind::All.begin(), link::kind::All.end()};
  return out;
}

} // namespace

class Node::Impl {
public:
  Impl(NodeSettings settings, std::string file)
      : Settings(std::move(settings)), File(std::move(file)), LogStream(Settings.Vm, Settings.Name),
        Log(LogStream),
        MetricsServer(
            Io, Log,
            [this](const http::BufferedRequest &, const http::BufferedServer::Responder &respond) {
              respond({200, Log.text(), "text/plain; version=0.0.4", "", {0}});
            }),
        Peers(transport::makeWebsocketTransport(Io, Clock, Log, transportSettings(Settings))),
        Signals(Io), Housekeeping(Io) {
    if (Settings.ProcessRole == Role::Entry)
      Entry = std::make_unique<entry::EntryNode>(Io, Clock, Log, *Peers, entrySettings(Settings));
    else
      Control = std::make_unique<control::ControlNode>(Io, Clock, Log, *Peers, Operators,
                                                       ListFormat, controlSettings(Settings));
    SettingsText = readFile(File);
  }

  absl::Status run() {
    std::signal(SIGPIPE, SIG_IGN);
    Signals.add(SIGTERM);
    Signals.add(SIGINT);
    Signals.add(SIGHUP);
    absl::Status status =
        Peers->start([this](const transport::PeerMessage &message) { onMessage(message); });
    if (status.ok() && Settings.MetricsPort != 0)
      status = MetricsServer.start(Settings.Vm.Value, Settings.MetricsPort);
    if (status.ok())
      status = Entry ? Entry->start() : Control->start();
    if (!status.ok())
      return status;
    Log.emit({core::EventId::ProcessStarted,
              {{"role", Entry ? "entry" : "control"},
               {"region", Settings.Region},
               {"domain", Settings.Domain},
               {"bootstrap", Settings.Bootstrap}}});
    awaitSignal();
    runHousekeeping();
    status = runEventLoop(Io, Clock, Log);
    Log.emit({core::EventId::ProcessStopped, core::Json::object()});
    LogStream.flush();
    return status;
  }

private:
  void onMessage(const transport::PeerMessage &message) {
    if (Entry)
      Entry->onMessage(message);
    else
      Control->onMessage(message);
  }

  void awaitSignal() {
    Signals.async_wait([this](const asio::error_code &ec, int signal) {
      if (ec)
        return;
      awaitSignal();
      if (signal == SIGHUP)
        reload();
      else
        stop();
    });
  }

  void stop() {
    Log.emit({core::EventId::ProcessStopping, core::Json::object()});
    LogStream.flush();
    if (Entry) {
      Entry->stop([this] { Io.stop(); });
    } else {
      Control->stop();
      Io.stop();
    }
  }

  void runHousekeeping() {
    // Started first, so that an unexpected exception does not end the housekeeping.
    Housekeeping.expires_after(HousekeepingInterval);
    Housekeeping.async_wait([this](const asio::error_code &ec) {
      if (!ec)
        runHousekeeping();
    });
    LogStream.flush();
    struct stat info = {};
    if (::stat(File.c_str(), &info) == 0) {
      auto modifiedAt = std::make_pair(info.st_mtim.tv_sec, info.st_mtim.tv_nsec);
      if (modifiedAt != FileModifiedAt && FileModifiedAt.first != 0)
        reload();
      FileModifiedAt = modifiedAt;
    }
  }

  /// Applies the seeds of changed settings. Other settings take effect on restart only.
  void reload() {
    std::string text = readFile(File);
    if (text == SettingsText)
      return;
    SettingsText = text;
    absl::StatusOr<NodeSettings> settings = parseNodeSettings(text);
    if (!settings.ok()) {
      Log.emit(
          {core::EventId::SettingsInvalid, {{"reason", std::string(settings.status().message())}}});
      return;
    }
    Settings.Seeds = settings->Seeds;
    if (Entry)
      Entry->setSeeds(settings->Seeds);
    else
      Control->setSeeds(settings->Seeds);
    Log.emit({core::EventId::SettingsReloaded, {{"seeds", settings->Seeds}}});
  }

  NodeSettings Settings;
  const std::string File;
  std::string SettingsText;
  std::pair<int64_t, int64_t> FileModifiedAt{0, 0};
  core::SteadyClock Clock;
  asio::io_context Io{1};
  observability::StreamLog LogStream;
  observability::EventMetrics Log;
  http::BufferedServer MetricsServer;
  platform::OperatorApi Operators;
  platform::TargetListFormat ListFormat;
  std::unique_ptr<transport::Transport> Peers;
  std::unique_ptr<entry::EntryNode> Entry;
  std::unique_ptr<control::ControlNode> Control;
  asio::signal_set Signals;
  asio::steady_timer Housekeeping;
};

Node::Node(NodeSettings settings, std::string file)
    : Implementation(std::make_unique<Impl>(std::move(settings), std::move(file))) {}

Node::~Node() = default;

absl::Status Node::run() { return Implementation->run(); }

} // namespace briarspar::node
