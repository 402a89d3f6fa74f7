#pragma once

#include "absl/status/status.h"
#include "catalog/Items.h"

#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace briarspar::catalog {

/// New content of one item. `Document` is the item as the operator sent it; it is given back
/// unchanged when the catalogue is read.
template <class T> struct NewItem {
  ItemVersion Version;
  T Value;
  std::string Document;
};

/// Ends one item.
struct Removal {
  std::string Name;
  ItemVersion Version;
};

/// Items that one order sets or removes. It is applied whole or not at all, except that parts which
/// a higher version has overtaken change nothing.
struct Change {
  std::vector<NewItem<Route>> Routes;
  std::vector<NewItem<Customer>> Customers;
  std::vector<NewItem<Service>> Services;
  std::vector<NewItem<CallerLimits>> Limits; ///< At most one.
  std::vector<Removal> RemovedRoutes;
  std::vector<Removal> RemovedCustomers;
  std::vector<Removal> RemovedServices;
};

/// What is held under one name. Without a value the item has been removed; the version stays, so
/// that an older content which arrives late does not bring it back.
template <class T> struct VersionedItem {
  ItemVersion Version;
  core::LogIndex ChangedAt;
  std::optional<T> Value;
  std::string Document;
};

template <class T> using ItemMap = std::map<std::string, VersionedItem<T>>;

/// State of the move of a service to a new version of its software.
enum class RolloutState : uint8_t { Running, Completed, RolledBack };

/// A move of a service's requests to targets of another version.
struct Rollout {
  std::string Service;
  std::string From; ///< Version that the targets had before; empty: every other version.
  std::string Target;
  core::Duration Period; ///< The move is due this long after it was ordered.
  RolloutState State = RolloutState::Running;
  uint32_t SharePermille = 0; ///< Share of the requests that the new version gets while it runs.
  core::Duration Elapsed;     ///< From the order to the last recorded step.
  core::LogIndex OrderedAt;
  core::LogIndex ChangedAt;
};

/// Whether a failure domain is evacuated.
struct Evacuation {
  bool Active = false;
  core::LogIndex ChangedAt;
};

void to_json(core::Json &j, const Change &change);
void from_json(const core::Json &j, Change &change);
void to_json(core::Json &j, const Rollout &it);
void from_json(const core::Json &j, Rollout &it);
void to_json(core::Json &j, const Evacuation &it);
void from_json(const core::Json &j, Evacuation &it);

/// The operators' configuration: items with a version each, rollouts and evacuations. The same
/// class is the replicated state of the control group and the copy that each VM serves from. Not
/// thread-safe.
class Catalog {
public:
  /// Checks a change and applies it. Returns InvalidArgument when it would leave an invalid
  /// catalogue, and AlreadyExists when an item has other content under a version that is held; the
  /// catalogue is then unchanged. Parts that a higher version has overtaken change nothing.
  absl::Status apply(const Change &change, core::LogIndex at);

  /// Starts a rollout of a service from one version to another. A repeated order changes nothing.
  /// Returns InvalidArgument for an unknown service.
  absl::Status startRollout(const std::string &service, const std::string &from,
                            const std::string &version, core::Duration period, core::LogIndex at);

  /// Records progress or the end of a rollout; ignored when it is no longer running or another one
  /// has been ordered.
  void stepRollout(const std::string &service, core::LogIndex orderedAt, RolloutState state,
                   uint32_t sharePermille, core::Duration elapsed, core::LogIndex at);

  /// Starts or ends the evacuation of a failure domain.
  void setEvacuation(const std::string &domain, bool active, core::LogIndex at);

  /// Returns what changed after `index`; 0 gives everything.
  core::Json deltaSince(core::LogIndex index) const;

  /// Takes a delta of another copy. An older delta changes nothing. Returns InvalidArgument for
  /// malformed content; the catalogue is then unchanged.
  absl::Status applyDelta(const core::Json &delta);

  /// Index of the newest change, 0 for an empty catalogue.
  core::LogIndex changedAt() const { return ChangedAt; }

  const ItemMap<Route> &routes() const { return Routes; }
  const ItemMap<Customer> &customers() const { return Customers; }
  const ItemMap<Service> &services() const { return Services; }
  const ItemMap<CallerLimits> &limits() const { return Limits; }
  const std::map<std::string, Rollout> &rollouts() const { return Rollouts; }
  const std::map<std::string, Evacuation> &evacuations() const { return Evacuations; }

  bool isEvacuated(const std::string &domain) const;

private:
  void advanceChangedAt(core::LogIndex at);

  ItemMap<Route> Routes;
  ItemMap<Customer> Customers;
  ItemMap<Service> Services;
  ItemMap<CallerLimits> Limits;
  std::map<std::string, Rollout> Rollouts;       ///< By service.
  std::map<std::string, Evacuation> Evacuations; ///< By failure domain.
  core::LogIndex ChangedAt;
};

} // namespace briarspar::catalog
