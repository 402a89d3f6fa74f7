#pragma once

#include "core/Clock.h"
#include "core/Codec.h"
#include "core/Ids.h"

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace briarspar::discovery {

/// One target process as the platform's list names it.
struct Target {
  core::TargetId Id; ///< Names the process; a restart mostly brings a new one.
  std::string Service;
  std::string Host; ///< IP address.
  uint16_t Port = 0;
  core::DomainId Domain;
  core::VersionId Version; ///< Of its software.
  uint32_t Slots = 1;      ///< Requests that it serves at the same time.
  bool Draining = false;   ///< Is about to stop and must get no new requests.
  core::Time ColdUntil;    ///< It is slow and fragile until then; by the clock of this process.
};

/// One page of the list.
struct ListPage {
  std::vector<Target> Targets;
  std::string NextPage;    ///< Token of the following page; empty on the last one.
  uint32_t Unreadable = 0; ///< Entries that could not be read and were left out.
};

/// How the platform's list is asked for and read. Implemented by the platform's adapter.
class ListFormat {
public:
  virtual ~ListFormat() = default;

  /// Returns the path and query that ask for a page; an empty token asks for the first one.
  virtual std::string pagePath(std::string_view token) const = 0;

  /// Reads a page that arrived at `now`. Returns InvalidArgument when the page as a whole cannot be
  /// read.
  virtual absl::StatusOr<ListPage> parsePage(std::string_view body, core::Time now) const = 0;
};

} // namespace briarspar::discovery
