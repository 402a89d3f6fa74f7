#pragma once

#include "absl/status/status.h"
#include "agreement/FileLogStorage.h"
#include "agreement/GroupMember.h"
#include "agreement/PosixFileSystem.h"
#include "agreement/ProposalCallbacks.h"
#include "agreement/RandomSource.h"
#include "control/ControlResponseBuilder.h"
#include "control/ControlStateMachine.h"
#include "control/EntryRegistry.h"
#include "control/ListClient.h"
#include "control/OperatorCall.h"
#include "control/ProcessNoticeRelay.h"
#include "control/ReportQueue.h"
#include "control/RolloutEvaluator.h"
#include "control/TargetWatcher.h"
#include "core/Event.h"
#include "http/BufferedServer.h"
#include "transport/Transport.h"

#include <asio/io_context.hpp>
#include <asio/steady_timer.hpp>

#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <vector>

namespace briarspar::control {

struct ControlNodeSettings {
  core::VmId Vm; ///< An IP address, like the ids of all VMs.
  std::string Host;
  uint16_t OperatorPort = 0;
  uint16_t LookupPort = 0; ///< May be equal to OperatorPort.
  uint16_t PeerPort = 0;   ///< Port of the message listeners of all VMs.
  std::vector<core::VmId> Seeds;
  std::string DataFolder;
  bool Bootstrap = false; ///< Set when the system starts for the first time.
  size_t BorneLosses = 2; ///< Control VMs that may be lost at once.
  std::string ListHost;   ///< Host of the platform's target list.
  uint16_t ListPort = 0;
  agreement::GroupId Group{"main"};
  core::Duration Tick{25}; ///< Tick interval of the agreement group; elections take 600 ms or more.
  core::Duration LookupTtl{2000}; ///< Callers cache a look-up result for this long.
  /// Notices on target processes are passed on this long after the first one arrived, all together.
  core::Duration NoticeDelay{15};
  core::Duration RetryAfterNoLeader{300}; ///< About half the duration of an election.
  TargetWatcherSettings Targets;
  /// A control VM that sent nothing for this long is not named to operators.
  core::Duration ContactTimeout{1000};
  core::Duration ReopenInterval{500}; ///< Interval between attempts to open the data folder.
  agreement::ReplicaSettings Replica = quickElections();

  /// Election timeouts below one second: a round trip between regions takes at most 70 ms, and a
  /// lost packet is retransmitted after 200 ms.
  static agreement::ReplicaSettings quickElections() {
    agreement::ReplicaSettings settings;
    settings.MinElectionTimeout = {450};
    settings.MaxElectionTimeout = {900};
    return settings;
  }
};

/// A control VM: a voter of the agreement group that holds the configuration. While it leads, it
/// also reads the target list of the platform, allocates rates and evaluates rollouts. Serves
/// operator calls and look-ups. Runs on the thread of the io_context.
class ControlNode {
public:
  ControlNode(asio::io_context &io, const core::Clock &clock, core::EventSink &events,
              transport::Transport &transport, const OperatorFormat &format,
              const discovery::ListFormat &listFormat, const ControlNodeSettings &settings);
  ~ControlNode();

  /// Starts listening and opens the data folder. An error of the disk is not returned, because the
  /// folder is opened again until that succeeds; damage to its content is.
  absl::Status start();

  void onMessage(const transport::PeerMessage &message);

  void stop();

  void setSeeds(const std::vector<core::VmId> &seeds);

private:
  class Random;

  using Responder = http::BufferedServer::Responder;

  absl::Status openMember();
  absl::Status openStorage();
  bool takesPart() const { return Member != nullptr && Member->health().ok(); }
  void tick();
  void flush();
  void sendMembership(const agreement::MembershipMessage &message);
  void sendToMember(const core::VmId &vm, std::string_view kind, const std::string &bytes);
  void lead(core::Time now);
  void evaluateRollouts(core::Time now);
  void readList(core::Time now);
  void onListPage(int status, const std::string &body);
  void rejectMessage(const core::VmId &peer, const absl::Status &status);
  void processReports();
  void onProcessNotices(const transport::PeerMessage &message);
  void passOnProcessNotices();
  void onReport(const transport::PeerMessage &message);
  link::ControlResponse makeResponse(const core::VmId &vm, core::Time now);
  void proposeEntry(const core::VmId &vm, bool present);
  void removeStaleEntries(core::Time now);
  void pushToEntries();
  void onHttp(const http::BufferedRequest &request, const Responder &respond);
  void answerLookup(const LookupCall &call, const Responder &respond);
  void propose(const Command &order, const std::string &what, const Responder &respond);
  void redirect(const http::BufferedRequest &request, const Responder &respond);
  std::optional<core::VmId> redirectTarget() const;
  std::string baselineVersion(const std::string &service, const std::string &except) const;
  bool isLeading(core::Time now) const;
  bool hasTakenOver(core::Time now) const;
  void notifyUnreachable(const LostEntry &lost);

  asio::io_context &Io;
  const core::Clock &Clock;
  core::EventSink &Events;
  transport::Transport &Peers;
  const OperatorFormat &Format;
  ControlNodeSettings Settings;
  agreement::PosixFileSystem Files;
  std::unique_ptr<Random> Randomness;
  std::unique_ptr<agreement::FileLogStorage> Storage;
  ControlStateMachine Machine;
  ReportQueue Reports;
  bool ReportsScheduled = false;
  std::unique_ptr<agreement::GroupMember> Member; ///< Null until the storage could be opened.
  core::Time LastOpen;
  agreement::ProposalCallbacks Proposals;
  http::BufferedServer OperatorServer;
  http::BufferedServer LookupServer;
  asio::steady_timer TickTimer;
  ProcessNoticeRelay ProcessNotices;
  asio::steady_timer NoticeTimer; ///< Runs while notices wait to be passed on together.

  RolloutEvaluator Evaluator;
  TargetWatcher Targets;
  EntryRegistry Entries;
  ControlResponseBuilder Responses;
  ListClient Fetch;

  bool Leading = false;
  core::LogIndex LastPushed; ///< Newest configuration that was pushed to the entry VMs.
  std::map<core::VmId, core::Time> LastContact; ///< Time of the last message from each control VM.
  std::set<core::VmId> PendingEntries;          ///< VMs with an uncommitted SetEntry command.
  /// Whether a step of the rollout is uncommitted, by service.
  std::map<std::string, bool> RolloutPending;
};

} // namespace briarspar::control
