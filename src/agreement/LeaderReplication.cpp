#include "agreement/LeaderReplication.h"

#include "core/Hash.h"

#include <algorithm>
#include <limits>

namespace briarspar::agreement {

namespace {

// Leader and follower truncate times to milliseconds, so an interval at the follower can be up to
// 2 ms shorter than measured here.
constexpr core::Duration ClockResolutionMargin{2};

// Earlier than any clock value; stands for "not yet acknowledged".
constexpr core::Time NeverAcked{std::numeric_limits<int64_t>::min() / 2};

} // namespace

void LeaderReplication::start() {
  StartedAt = State.Now;
  SyncedIndex = core::LogIndex();
  SyncedAt = NeverAcked;
  Peers.clear();
  StartIndex = State.appendInCurrentTerm(EntryKind::NoOperation, "");
  State.Leader = State.self();
  refreshPeers();
}

void LeaderReplication::refreshPeers() {
  const Configuration &members = State.Log.configuration();
  for (auto it = Peers.begin(); it != Peers.end();)
    it = members.contains(it->first) ? std::next(it) : Peers.erase(it);
  auto add = [this](const VoterId &id) {
    if (id == State.self() || Peers.count(id) != 0)
      return;
    Peer &peer = Peers[id];
    peer.Next = State.Log.lastIndex();
    peer.AckedSentAt = NeverAcked;
    peer.AddedAt = State.Now;
    sendTo(id, peer);
  };
  for (const VoterId &id : members.Voters)
    add(id);
  for (const VoterId &id : members.Learners)
    add(id);
}

void LeaderReplication::tick() {
  for (auto &[id, peer] : Peers)
    if (State.Now - peer.LastSent >= State.Settings.Heartbeat)
      sendTo(id, peer);
}

void LeaderReplication::checkQuorum() {
  core::Time limit = std::max(quorumAckedAt(), StartedAt) + leaseLength();
  if (State.Now >= limit)
    State.becomeFollower(State.term());
}

core::Duration LeaderReplication::leaseLength() const {
  return core::shortenForClockDrift(State.Settings.MinElectionTimeout) - ClockResolutionMargin;
}

core::Time LeaderReplication::quorumAckedAt() const {
  auto ackedAt = [this](const VoterId &id) {
    if (id == State.self())
      return SyncedAt;
    auto it = Peers.find(id);
    return it == Peers.end() ? NeverAcked : it->second.AckedSentAt;
  };
  return quorumValue<core::Time>(State.Log.configuration(), ackedAt);
}

bool LeaderReplication::holdsLease(core::Time now) const {
  return State.isLeader() && now < quorumAckedAt() + leaseLength();
}

bool LeaderReplication::hasCommittedInCurrentTerm() const { return State.Commit >= StartIndex; }

bool LeaderReplication::isCaughtUp(const VoterId &id) const {
  auto it = Peers.find(id);
  if (it == Peers.end())
    return false;
  bool recent = State.Now - it->second.AckedSentAt < State.Settings.MinElectionTimeout;
  return recent && it->second.Match >= State.Commit;
}

core::Time LeaderReplication::lastAcknowledged(const VoterId &id) const {
  auto it = Peers.find(id);
  return it == Peers.end() ? State.Now : std::max(it->second.AddedAt, it->second.AckedSentAt);
}

void LeaderReplication::onSynced() {
  SyncedIndex = State.Log.lastIndex();
  SyncedAt = State.Now;
  advanceCommit();
}

void LeaderReplication::advanceCommit() {
  auto matchOf = [this](const VoterId &id) {
    if (id == State.self())
      return SyncedIndex;
    auto it = Peers.find(id);
    return it == Peers.end() ? core::LogIndex() : it->second.Match;
  };
  core::LogIndex quorumIndex = quorumValue<core::LogIndex>(State.Log.configuration(), matchOf);
  // Entries of earlier terms are committed only through an entry of the current term: even when a
  // quorum holds them, a leader without them may still be elected (Raft, section 5.4.2).
  if (quorumIndex < StartIndex || quorumIndex <= State.Commit)
    return;
  EntryApplier.advance(quorumIndex);
  bool removed = State.Log.configurationIndex() <= State.Commit &&
                 !State.Log.configuration().isVoter(State.self());
  if (State.isLeader() && removed) {
    for (auto &[id, peer] : Peers)
      sendTo(id, peer);
    State.becomeFollower(State.term());
  }
}

LeaderReplication::Peer *LeaderReplication::acceptResponse(const VoterId &from, core::Term term,
                                                           core::Time sentAt) {
  if (term > State.term()) {
    State.becomeFollower(term);
    return nullptr;
  }
  auto it = Peers.find(from);
  if (!State.isLeader() || term != State.term() || sentAt > State.Now || it == Peers.end())
    return nullptr;
  it->second.AckedSentAt = std::max(it->second.AckedSentAt, sentAt);
  return &it->second;
}

void LeaderReplication::onAppendResponse(const VoterId &from, const AppendResponse &m) {
  Peer *peer = acceptResponse(from, m.InTerm, m.SentAt);
  if (peer == nullptr || m.Match > State.Log.lastIndex())
    return;
  if (!m.Success) {
    onAppendRejected(from, *peer, m);
    return;
  }
  peer->Match = std::max(peer->Match, m.Match);
  peer->Next = std::max(peer->Next, peer->Match.next());
  if (peer->SendMode == Mode::Probe)
    peer->SendMode = Mode::Replicate;
  advanceCommit();
}

void LeaderReplication::onAppendRejected(const VoterId &from, Peer &peer, const AppendResponse &m) {
  // A rejection is stale if a later append succeeded or a newer probe is in flight.
  bool stale = peer.SendMode == Mode::Snapshot || m.PreviousIndex <= peer.Match ||
               (peer.SendMode == Mode::Probe && m.PreviousIndex.next() != peer.Next);
  if (stale)
    return;
  peer.SendMode = Mode::Probe;
  peer.Next = std::max(std::min(m.Match.next(), m.PreviousIndex), peer.Match.next());
  sendTo(from, peer);
}

void LeaderReplication::sendTo(const VoterId &id, Peer &peer) {
  peer.LastSent = State.Now;
  bool inLog = peer.Next > State.Log.boundary();
  if (!inLog && peer.SendMode != Mode::Snapshot)
    startSnapshot(peer);
  if (peer.SendMode == Mode::Snapshot)
    sendChunk(id, peer);
  else
    sendAppend(id, peer);
}

bool LeaderReplication::windowIsOpen(const Peer &peer) const {
  return peer.Next.Value - peer.Match.Value <= State.Settings.MaxInflightEntries;
}

void LeaderReplication::sendAppend(const VoterId &id, Peer &peer) {
  Append m;
  m.InTerm = State.term();
  m.PreviousIndex = core::LogIndex(peer.Next.Value - 1);
  m.PreviousTerm = *State.Log.termAt(m.PreviousIndex);
  m.Commit = State.Commit;
  m.SentAt = State.Now;
  if (peer.SendMode == Mode::Probe || windowIsOpen(peer))
    m.Entries = State.Log.slice(peer.Next, State.Settings.MaxInflightEntries,
                                State.Settings.MaxAppendBytes);
  if (peer.SendMode == Mode::Replicate)
    peer.Next = core::LogIndex(peer.Next.Value + m.Entries.size());
  State.send(id, std::move(m));
}

void LeaderReplication::sendNewEntries() {
  for (auto &[id, peer] : Peers)
    while (peer.SendMode == Mode::Replicate && peer.Next <= State.Log.lastIndex() &&
           windowIsOpen(peer))
      sendTo(id, peer);
}

void LeaderReplication::startSnapshot(Peer &peer) {
  peer.SendMode = Mode::Snapshot;
  peer.Outgoing = State.LatestSnapshot;
  peer.Digest = core::hash64(peer.Outgoing->Data);
  peer.Offset = 0;
}

void LeaderReplication::sendChunk(const VoterId &id, Peer &peer) {
  const Snapshot &snapshot = *peer.Outgoing;
  InstallSnapshot m;
  m.InTerm = State.term();
  m.Index = snapshot.Index;
  m.IndexTerm = snapshot.InTerm;
  m.Members = snapshot.Members;
  m.TotalBytes = snapshot.Data.size();
  m.Digest = peer.Digest;
  m.Offset = peer.Offset;
  m.Data = snapshot.Data.substr(peer.Offset, State.Settings.SnapshotChunkBytes);
  m.SentAt = State.Now;
  State.send(id, std::move(m));
}

void LeaderReplication::onInstallSnapshotResponse(const VoterId &from,
                                                  const InstallSnapshotResponse &m) {
  Peer *peer = acceptResponse(from, m.InTerm, m.SentAt);
  if (peer == nullptr || peer->SendMode != Mode::Snapshot || m.Index != peer->Outgoing->Index)
    return;
  if (m.Installed) {
    peer->Match = std::max(peer->Match, m.Index);
    peer->Next = peer->Match.next();
    peer->SendMode = Mode::Probe;
    peer->Outgoing.reset();
    advanceCommit();
    sendTo(from, *peer);
    return;
  }
  // A duplicate response must not start a second stream of chunks.
  if (m.NextOffset == peer->Offset || m.NextOffset > peer->Outgoing->Data.size())
    return;
  peer->Offset = m.NextOffset;
  sendTo(from, *peer);
}

} // namespace briarspar::agreement
