#pragma once

#include "config/Command.h"
#include "core/Ids.h"

#include <array>
#include <cstdint>
#include <string>
#include <string_view>
#include <variant>

namespace briarspar::operator_language {

/// A collection that `show` can list.
enum class Collection : uint8_t {
  Customers,
  Keys,
  Routes,
  Targets,
  Vms,
  Moves,
  Drains,
  Caps,
  Blocks,
  Version,
};

} // namespace briarspar::operator_language

template <> struct briarspar::config::EnumNames<briarspar::operator_language::Collection> {
  static constexpr std::array<std::string_view, 10> Values{
      "customers", "keys",   "routes", "targets", "vms",
      "moves",     "drains", "caps",   "blocks",  "version"};
};

namespace briarspar::operator_language {

struct ShowQuery {
  Collection ListedCollection = Collection::Version;
};

/// Asks for the state of one version move or traffic shift.
struct WatchQuery {
  core::MoveId Move;
};

/// Asks for the events of one request, or for the latest events of all requests.
struct TimelineQuery {
  std::string Request; ///< Empty: all requests.
};

struct Query {
  std::variant<ShowQuery, WatchQuery, TimelineQuery> Body;
  bool AsJson = false; ///< The statement ends with `as json`.
};

struct CommandStatement {
  config::Change RequestedChange;
  core::ConfigVersion ExpectedVersion; ///< 0: any version.
  std::string Id;                      ///< Command id; empty if the statement has none.
};

using Statement = std::variant<Query, CommandStatement>;

} // namespace briarspar::operator_language
