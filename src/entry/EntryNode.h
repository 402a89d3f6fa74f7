#pragma once

#include "absl/status/status.h"
#include "entry/CallerSession.h"
#include "entry/Exchange.h"
#include "entry/TargetPool.h"
#include "http/SmallServer.h"
#include "link/Messages.h"
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

/// IP address and port of a listener.
struct Address {
  std::string Host;
  uint16_t Port = 0;
};

struct EntryNodeSettings {
  VmLocation Location;
  Address Callers;
  Address Ready;
  uint16_t PeerPort = 0;                   ///< Of the message listeners of all VMs.
  std::vector<core::VmId> Seeds;           ///< Control VMs to start from; ids are IP addresses.
  core::Duration ReportInterval{400};      ///< Far below the validity of rate shares, 3 s.
  core::Duration FirstReportInterval{100}; ///< While there is no configuration to serve from.
  uint32_t BriefReportEvery = 3; ///< Control VMs that do not lead get each such report, and those
                                 ///< that tell of a change of this VM's state.
  core::Duration SweepInterval{200};   ///< Of idle connections, probes and logs.
  core::Duration ControlTimeout{1000}; ///< Without a leader's answer for so long it is lost.
  core::Duration StopAcceptTime{2500}; ///< After a stop signal callers are served this long, while
                                       ///< they learn of other VMs; look-ups are cached for 2 s.
  core::Duration StopTimeout{5500};    ///< The process ends at the latest then.
  http::HeaderNames Names;
  TargetTableSettings Selection;
};

/// The traffic side of an entry VM: serves callers by the last configuration and target list that
/// the control group has sent, and reports to it. Runs on the thread of the io_context.
class EntryNode {
public:
  EntryNode(asio::io_context &io, const core::Clock &clock, core::EventSink &events,
            transport::Transport &transport, const EntryNodeSettings &settings);
  ~EntryNode();

  /// Opens the listeners. Returns an error when an address is not available.
  absl::Status start();

  /// Takes a message of another process.
  void onMessage(const transport::PeerMessage &message);

  /// Stops as planned; `done` is called when no request is left.
  void stop(std::function<void()> done);

  /// Takes the control VMs of changed settings.
  void setSeeds(const std::vector<core::VmId> &seeds);

  const EntryContext &context() const { return Context; }

private:
  void acceptCaller(asio::ip::tcp::socket socket);
  void report();
  void sweep();
  void probe();
  void onAnswer(const link::ControlAnswer &answer);
  void onRateAsk(const transport::PeerMessage &message);
  void onRatePermit(const transport::PeerMessage &message);
  void sendRateAsk(const core::VmId &to, const link::RateRequest &ask);
  void startRateTimer();
  void rejectMessage(const core::VmId &peer, const absl::Status &status);
  void applyCatalog(std::string_view bytes);
  void applyList(std::string_view bytes);
  void onLeaderHeard(const core::VmId &leader);
  link::EntryReport makeReport(bool full);
  bool isServing() const;
  void finishStop();

  asio::io_context &Io;
  const core::Clock &Clock;
  core::EventSink &Events;
  transport::Transport &Peers;
  const EntryNodeSettings Settings;
  EntryContext Context;
  catalog::Catalog Catalog;
  discovery::TargetList List;
  TargetPool Pool;
  http::SmallServer ReadyServer;
  http::Listener CallerConnections;
  asio::steady_timer ReportTimer;
  asio::steady_timer SweepTimer;
  asio::steady_timer RateTimer; ///< Runs while holders are asked.
  bool RateTimerRuns = false;
  core::Time SampledAt;        ///< Last sample of what callers ask of the services.
  core::Time ObjectsSampledAt; ///< Last one with the hashes of the objects.
  uint32_t ReportsSinceBriefReport = 0;
  std::pair<bool, bool> BriefReportState; ///< Serving and stopping, as all control VMs were told.
  uint64_t EntriesDigest = 0;             ///< Of the list of entry VMs that is held here.
  std::unordered_set<std::shared_ptr<CallerSession>> Sessions;
  std::set<core::VmId> ControlVms; ///< All control VMs that are known.
  std::vector<core::VmId> Seeds;
  core::VmId Leader;
  core::Term LeaderTerm; ///< Newest term of a leader that was heard.
  bool LeaderLost = true;
  core::Time LeaderHeard;
  uint64_t Sequence = 0;
  std::map<uint64_t, core::Time> SentAt; ///< Of reports that are not answered.
  bool Stopping = false;
  bool Accepting = true;
  bool WasServing = false;
  core::Time StopStart;
  std::function<void()> Stopped;
  class Probe;
  std::set<std::shared_ptr<Probe>> Probes;
};

} // namespace briarspar::entry
