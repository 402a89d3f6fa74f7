#pragma once

#include "core/Clock.h"
#include "core/Codec.h"
#include "core/Ids.h"

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace briarspar::discovery {

/// One target process of the platform list.
struct Target {
  core::TargetId Id;
  /// Distinguishes the processes that have run under the id: the start of this one, in Unix
  /// milliseconds of its own clock. 0 if the list does not show it.
  core::Incarnation Process;
  std::string Service;
  std::string Host; ///< IP address.
  uint16_t Port = 0;
  core::DomainId Domain;
  core::VersionId Version; ///< Version of its software.
  uint32_t Slots = 1;      ///< Number of requests that it serves concurrently.
  bool Draining = false;   ///< It is about to stop and must not receive new requests.
  /// It is slow and easily overloaded until then, by the clock of this process.
  core::Time ColdUntil;
};

/// One page of the target list.
struct ListPage {
  std::vector<Target> Targets;
  std::string NextPage;    ///< Token of the next page; empty on the last one.
  uint32_t Unreadable = 0; ///< Number of entries that could not be parsed and were skipped.
};

/// Request and response format of the platform's list. Implemented by the platform adapter.
class ListFormat {
public:
  virtual ~ListFormat() = default;

  /// Returns the path and query of a page; an empty token requests the first page.
  virtual std::string pagePath(std::string_view token) const = 0;

  /// Parses a page that arrived at `now`. Returns InvalidArgument when the page as a whole is
  /// malformed.
  virtual absl::StatusOr<ListPage> parsePage(std::string_view body, core::Time now) const = 0;
};

} // namespace briarspar::discovery
