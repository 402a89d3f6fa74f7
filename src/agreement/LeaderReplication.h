#pragma once

#include "agreement/Applier.h"
#include "agreement/ReplicaState.h"

#include <map>
#include <memory>

namespace briarspar::agreement {

/// Sends entries and snapshots to the other members, counts acknowledgements, and holds the leader
/// lease.
class LeaderReplication {
public:
  LeaderReplication(ReplicaState &state, Applier &applier) : State(state), EntryApplier(applier) {}

  /// Starts a term as leader. The progress of all peers is unknown and no lease is held yet.
  void start();

  /// Sends the heartbeats that are due.
  void tick();

  /// Steps down when the leader lease has expired. Must be called first at every new time.
  void checkQuorum();

  void onAppendResponse(const VoterId &from, const AppendResponse &m);
  void onInstallSnapshotResponse(const VoterId &from, const InstallSnapshotResponse &m);

  /// Updates the peers after a change of the configuration.
  void refreshPeers();

  /// Sends each replicating peer the entries that it has not been sent yet.
  void sendNewEntries();

  /// Counts this replica's own synced log, and commits the entries that a quorum holds.
  void onSynced();

  bool holdsLease(core::Time now) const;

  /// Returns whether an entry of the current term is committed.
  bool hasCommittedInCurrentTerm() const;

  /// Returns whether a member holds all committed entries and acknowledged a message that was sent
  /// within the minimum election timeout.
  bool isCaughtUp(const VoterId &id) const;

  /// Returns the time of the newest message that a peer acknowledged, or when the leader began to
  /// send to it. Returns the current time for any other identity.
  core::Time lastAcknowledged(const VoterId &id) const;

private:
  enum class Mode : uint8_t {
    Probe,     ///< The last matching entry is unknown; no pipelining.
    Replicate, ///< Appends are pipelined.
    Snapshot   ///< The peer needs entries that were compacted away.
  };

  struct Peer {
    Mode SendMode = Mode::Probe;
    core::LogIndex Next;    ///< First entry to send.
    core::LogIndex Match;   ///< Last entry known to be synced by the peer.
    core::Time AckedSentAt; ///< Send time of the newest acknowledged message.
    core::Time LastSent;
    core::Time AddedAt;                       ///< When the leader began to send to the peer.
    std::shared_ptr<const Snapshot> Outgoing; ///< Set in Mode::Snapshot.
    uint64_t Digest = 0;
    uint64_t Offset = 0; ///< Next byte of `Outgoing` to send.
  };

  Peer *acceptResponse(const VoterId &from, core::Term term, core::Time sentAt);
  void onAppendRejected(const VoterId &from, Peer &peer, const AppendResponse &m);
  void sendTo(const VoterId &id, Peer &peer);
  void sendAppend(const VoterId &id, Peer &peer);
  void sendChunk(const VoterId &id, Peer &peer);
  void startSnapshot(Peer &peer);
  bool windowIsOpen(const Peer &peer) const;
  void advanceCommit();
  core::Time quorumAckedAt() const;
  core::Duration leaseLength() const;

  ReplicaState &State;
  Applier &EntryApplier;
  std::map<VoterId, Peer> Peers;
  core::Time StartedAt;
  core::LogIndex StartIndex;  ///< First entry of the current term.
  core::LogIndex SyncedIndex; ///< Last entry synced by this replica.
  core::Time SyncedAt;        ///< When this replica's log was last known to be synced.
};

} // namespace briarspar::agreement
