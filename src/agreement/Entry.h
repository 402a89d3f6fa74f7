#pragma once

#include "agreement/Configuration.h"
#include "core/Ids.h"

#include <cstdint>
#include <string>

namespace briarspar::agreement {

enum class EntryKind : uint8_t {
  Command = 0,       ///< Applied to the state machine.
  Configuration = 1, ///< An encoded Configuration; in effect as soon as it is in the log.
  NoOperation = 2,   ///< First entry of a leader's term.
};

/// One entry of the replicated log.
struct Entry {
  core::LogIndex Index;
  core::Term InTerm;
  EntryKind Kind = EntryKind::Command;
  std::string Data;

  friend bool operator==(const Entry &a, const Entry &b) {
    return a.Index == b.Index && a.InTerm == b.InTerm && a.Kind == b.Kind && a.Data == b.Data;
  }
};

/// The state after all entries up to and including `Index`. Replaces these entries.
struct Snapshot {
  core::LogIndex Index;
  core::Term InTerm;     ///< Term of the entry at `Index`.
  Configuration Members; ///< Configuration in effect at `Index`.
  std::string Data;      ///< As StateMachine::snapshot returned it.
};

} // namespace briarspar::agreement
