#pragma once

#include "absl/status/status.h"
#include "agreement/FileLogStorage.h"
#include "agreement/PosixFileSystem.h"
#include "agreement/ProposalCallbacks.h"
#include "agreement/RandomSource.h"
#include "agreement/Replica.h"
#include "control/ControlAnswerBuilder.h"
#include "control/ControlStateMachine.h"
#include "control/EntryRegistry.h"
#include "control/ListClient.h"
#include "control/OperatorCall.h"
#include "control/RolloutEvaluator.h"
#include "control/TargetWatcher.h"
#include "core/Event.h"
#include "http/SmallServer.h"
#include "transport/Transport.h"

#include <asio/io_context.hpp>
#include <asio/steady_timer.hpp>

#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

namespace briarspar::control {

struct ControlNodeSettings {
  core::VmId Vm; ///< An IP address, as the ids of all VMs.
  std::string Host;
  uint16_t OperatorPort = 0;
  uint16_t LookupPort = 0; ///< May equal OperatorPort.
  uint16_t PeerPort = 0;   ///< Of the message listeners of all VMs.
  std::vector<core::VmId> Seeds;
  std::string DataFolder;
  bool Bootstrap = false; ///< The system starts for the first time.
  std::string ListHost;   ///< The platform's list of targets.
  uint16_t ListPort = 0;
  agreement::GroupId Group{"main"};
  core::Duration Tick{25};           ///< Of the agreement group; elections take 600 ms or more.
  core::Duration JoinInterval{500};  ///< Between two requests to be added to the group.
  core::Duration VoterTimeout{6000}; ///< A voter that is silent for so long may be replaced; a
                                     ///< restart takes a second, a cut mostly less than this.
  core::Duration LookupTtl{2000};    ///< Callers cache a look-up for this long.
  core::Duration RetryAfterNoLeader{300}; ///< About half an election.
  TargetWatcherSettings Targets;
  agreement::ReplicaSettings Replica = quickElections();

  /// Elections within a second: a round trip between regions takes 70 ms at most, and a lost packet
  /// is sent again after 200 ms.
  static agreement::ReplicaSettings quickElections() {
    agreement::ReplicaSettings settings;
    settings.MinElectionTimeout = {450};
    settings.MaxElectionTimeout = {900};
    return settings;
  }
};

/// A control VM: a voter of the agreement group that holds the configuration, and while it leads,
/// the reader of the platform's list, the divider of rates and the judge of rollouts. Answers
/// operators and look-ups. Runs on the thread of the io_context.
class ControlNode {
public:
  ControlNode(asio::io_context &io, const core::Clock &clock, core::EventSink &events,
              transport::Transport &transport, const OperatorFormat &format,
              const discovery::ListFormat &listFormat, const ControlNodeSettings &settings);
  ~ControlNode();

  /// Opens the data folder and the listeners.
  absl::Status start();

  void onMessage(const transport::PeerMessage &message);

  void stop();

  void setSeeds(const std::vector<core::VmId> &seeds);

private:
  class Random;

  using Responder = http::SmallServer::Responder;

  absl::Status openReplica();
  void tick();
  void flush();
  void lead(core::Time now);
  void checkVoters(core::Time now);
  void join(core::Time now);
  void evaluateRollouts(core::Time now);
  void readList(core::Time now);
  void onListPage(int status, const std::string &body);
  void rejectMessage(const core::VmId &peer, const absl::Status &status);
  void onReport(const transport::PeerMessage &message);
  link::ControlAnswer makeAnswer(const core::VmId &vm, core::Time now);
  void proposeEntry(const core::VmId &vm, bool present);
  void removeStaleEntries(core::Time now);
  void pushToEntries();
  void onHttp(const http::WholeRequest &request, const Responder &respond);
  void answerLookup(const LookupCall &call, const Responder &respond);
  void propose(const Command &order, const std::string &what, const Responder &respond);
  void redirect(const http::WholeRequest &request, const Responder &respond);
  std::string baselineVersion(const std::string &service, const std::string &except) const;
  std::set<core::VmId> members() const;
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
  std::unique_ptr<agreement::Replica> Log;
  agreement::ProposalCallbacks Proposals;
  http::SmallServer OperatorServer;
  http::SmallServer LookupServer;
  asio::steady_timer TickTimer;

  RolloutEvaluator Evaluator;
  TargetWatcher Targets;
  EntryRegistry Entries;
  ControlAnswerBuilder Answers;
  ListClient Fetch;

  bool Leading = false;
  core::LogIndex LastPushed; ///< Newest configuration that was sent to the entry VMs.
  core::Time LastJoin;
  core::Time LastVoterCheck;
  std::map<core::VmId, core::Time> LastContact; ///< Control VMs.
  std::set<core::VmId> PendingEntries; ///< A change of their listing is on its way through the log.
  std::map<std::string, bool> RolloutPending; ///< A step is on its way through the log.
};

} // namespace briarspar::control
