#pragma once

#include "core/Clock.h"

#include <cstddef>

namespace briarspar::agreement {

/// Times and sizes of a replica. The two election timeouts must be equal on all voters of a group,
/// because the leader lease relies on them.
struct ReplicaSettings {
  core::Duration MinElectionTimeout{600};  ///< Shortest silence before a voter campaigns, in ms.
  core::Duration MaxElectionTimeout{1200}; ///< Longest silence before a voter campaigns, in ms.
  core::Duration Heartbeat{100};           ///< Interval between appends to each peer, in ms.
  size_t SnapshotInterval = 1000;          ///< Applied entries between snapshots.
  size_t RetainedEntries = 1000;           ///< Entries kept before a snapshot, for slow followers.
  size_t MaxCommandBytes = 1024 * 1024;    ///< Longest command that is accepted.
  size_t MaxAppendBytes = 1024 * 1024;     ///< Entry bytes after which an append is sent.
  size_t MaxInflightEntries = 4096;        ///< Entries sent to a peer and not yet acknowledged.
  size_t MaxPendingProposals = 10000;      ///< Uncommitted proposals before new ones are refused.
  size_t SnapshotChunkBytes = 256 * 1024;  ///< Snapshot bytes in one message.
  size_t MaxSnapshotBytes = 1024UL * 1024 * 1024; ///< Longest snapshot that is accepted.
};

} // namespace briarspar::agreement
