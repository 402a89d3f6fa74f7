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

  /// Starts a term as leader: all peers are unknown and no lease is held.
  void start();

  /// Sends heartbeats that are due. Steps down when the lease has lapsed.
  void tick();

  /// Steps down when the lease has lapsed. Called before anything else is done at a new time.
  void checkQuorum();

  void onAppendResponse(const VoterId &from, const AppendResponse &m);
  void onInstallSnapshotResponse(const VoterId &from, const InstallSnapshotResponse &m);

  /// Follows the newest configuration after a change.
  void refreshPeers();

  /// Sends entries that no peer has been sent yet.
  void sendNewEntries();

  /// Counts this replica's own log after a sync, and commits what a quorum holds.
  void onSynced();

  bool holdsLease(core::Time now) const;

  /// Returns whether an entry of this leader's term is committed.
  bool hasCommittedInCurrentTerm() const;

  /// Returns whether a member holds all committed entries and answered recently.
  bool isCaughtUp(const VoterId &id) const;

private:
  enum class Mode : uint8_t {
    Probe,     ///< The last common entry is unknown; one append at a time.
    Replicate, ///< Appends follow each other without waiting.
    Snapshot   ///< The peer needs entries that are gone.
  };

  struct Peer {
    Mode SendMode = Mode::Probe;
    core::LogIndex Next;    ///< First entry to send.
    core::LogIndex Match;   ///< Last entry known to be synced at the peer.
    core::Time AckedSentAt; ///< Send time of the newest message that the peer answered.
    core::Time LastSent;
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
  core::LogIndex StartIndex;  ///< First entry of this leader's term.
  core::LogIndex SyncedIndex; ///< Last entry synced here.
  core::Time SyncedAt;        ///< When this replica last proved that its storage works.
};

} // namespace briarspar::agreement
