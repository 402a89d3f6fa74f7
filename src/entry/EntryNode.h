#pragma once

#include "absl/status/status.h"
#include "entry/CallerSession.h"
#include "entry/Exchange.h"
#include "entry/ReportSchedule.h"
#include "entry/TargetPool.h"
#include "http/BufferedServer.h"
#include "link/EntryList.h"
#include "transport/Transport.h"

#include <asio/io_context.hpp>
#include <asio/ip/tcp.hpp>
#include <asio/steady_timer.hpp>

#include <functional>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <unordered_set>

namespace briarspar::entry {

struct Address {
  std::string Host;
  uint16_t Port = 0;
};

struct EntryNodeSettings {
  VmLocation Location;
  Address Callers;
  Address Ready;
  uint16_t PeerPort = 0;         ///< Port of the peer message listener; the same on all VMs.
  std::vector<core::VmId> Seeds; ///< Control VMs to contact first. Their ids are IP addresses.
  ReportScheduleSettings Reports;
  /// Time until the next report when this VM has become or ceased to be the holder of a customer's
  /// share. Until the leader knows, the customer's requests are refused.
  core::Duration SoonInterval{50};
  /// Control VMs that are not the leader get a brief report this many intervals apart, and whenever
  /// the state of this VM changes.
  uint32_t BriefReportEvery = 3;
  /// Interval of the checks for idle connections, due probes and events to emit.
  core::Duration SweepInterval{200};
  /// Interval of the checks of targets whose process may have ended.
  core::Duration DoubtInterval{30};
  /// The leader counts as lost when it has not replied for this long.
  core::Duration ControlTimeout{1000};
  /// After a stop signal, new connections are still accepted for this long, because callers may
  /// have cached the address of this VM: look-ups are cached for 2 s.
  core::Duration StopAcceptTime{2500};
  /// The stop completes after this time even if requests are still running.
  core::Duration StopTimeout{5500};
  http::HeaderNames Names;
  TargetTableSettings Selection;
};

/// The data path of an entry VM: serves callers according to the last configuration and target list
/// received from the control group, and reports to that group. Runs on the thread of the
/// io_context.
class EntryNode {
public:
  EntryNode(asio::io_context &io, const core::Clock &clock, core::EventSink &events,
            transport::Transport &transport, const EntryNodeSettings &settings);
  ~EntryNode();

  /// Opens the listeners. Returns an error when an address is not available.
  absl::Status start();

  /// Handles a message from a peer process.
  void onMessage(const transport::PeerMessage &message);

  /// Starts a graceful stop; `done` is called when no request is left or StopTimeout has passed.
  void stop(std::function<void()> done);

  /// Replaces the seed list after the settings have been reloaded.
  void setSeeds(const std::vector<core::VmId> &seeds);

  const EntryContext &context() const { return Context; }

private:
  void acceptCaller(asio::ip::tcp::socket socket);
  void report();
  void reportSoon();
  void sweep();
  void probe();
  void checkDoubts();
  void startDoubtTimer();
  void onProcessNotices(const transport::PeerMessage &message);
  void onResponse(const link::ControlResponse &answer);
  void onRateRequest(const transport::PeerMessage &message);
  void onRatePermit(const transport::PeerMessage &message);
  void sendRateRequest(const core::VmId &to, const link::RateRequest &ask);
  void startRateTimer();
  void rejectMessage(const core::VmId &peer, const absl::Status &status);
  void applyCatalog(std::string_view bytes);
  void applyList(std::string_view bytes);
  void onLeaderHeard(const core::VmId &leader);
  link::EntryReport makeReport(bool full);
  bool isServing() const;
  void continueStop();

  asio::io_context &Io;
  const core::Clock &Clock;
  core::EventSink &Events;
  transport::Transport &Peers;
  const EntryNodeSettings Settings;
  EntryContext Context;
  catalog::Catalog Catalog;
  discovery::TargetList List;
  TargetPool Pool;
  http::BufferedServer ReadyServer;
  http::Listener CallerConnections;
  ReportSchedule Reports;
  asio::steady_timer ReportTimer;
  asio::steady_timer SweepTimer;
  asio::steady_timer DoubtTimer; ///< Runs while processes of targets may have ended.
  bool DoubtTimerRuns = false;
  asio::steady_timer RateTimer; ///< Runs while rate requests to other VMs are outstanding.
  bool RateTimerRuns = false;
  core::Time SampledAt;        ///< Time of the last sample of the demand for services.
  core::Time ObjectsSampledAt; ///< Time of the last sample that included object hashes.
  uint32_t ReportsSinceBriefReport = 0;
  std::pair<bool, bool> BriefReportState; ///< Serving and stopping state in the last brief report.
  link::EntryList Entries;                ///< Live entry VMs.
  std::unordered_set<std::shared_ptr<CallerSession>> Sessions;
  std::set<core::VmId> ControlVms; ///< All known control VMs.
  std::vector<core::VmId> Seeds;
  core::VmId Leader;
  core::Term LeaderTerm; ///< Newest leader term received.
  bool LeaderLost = true;
  core::Time LeaderHeard;
  uint64_t Sequence = 0;
  /// Send times of reports without a reply, by sequence number.
  std::map<uint64_t, core::Time> SentAt;
  bool Stopping = false;
  bool Accepting = true;
  bool WasServing = false;
  core::Time StopStart;
  std::function<void()> Stopped;
  class Probe;
  std::set<std::shared_ptr<Probe>> Probes;
};

} // namespace briarspar::entry
