#pragma once

#include "absl/status/status.h"
#include "catalog/Items.h"

#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace briarspar::catalog {

/// New content of one item. `Document` is the item as the operator sent it; it is returned
/// unchanged when the catalog is read.
template <class T> struct NewItem {
  ItemVersion Version;
  T Value;
  std::string Document;
};

/// Removes one item.
struct Removal {
  std::string Name;
  ItemVersion Version;
};

/// A set of items to set or remove. It is applied atomically; parts whose version is older than the
/// stored one have no effect.
struct Change {
  std::vector<NewItem<Route>> Routes;
  std::vector<NewItem<Customer>> Customers;
  std::vector<NewItem<Service>> Services;
  std::vector<NewItem<CallerLimits>> Limits; ///< At most one entry.
  std::vector<Removal> RemovedRoutes;
  std::vector<Removal> RemovedCustomers;
  std::vector<Removal> RemovedServices;
};

/// Stored state of one item. Without a value, the item has been removed; its version is kept so
/// that older content arriving late does not restore it.
template <class T> struct VersionedItem {
  ItemVersion Version;
  core::LogIndex ChangedAt;
  std::optional<T> Value;
  std::string Document;
};

template <class T> using ItemMap = std::map<std::string, VersionedItem<T>>;

/// State of a rollout.
enum class RolloutState : uint8_t { Running, Completed, RolledBack };

/// A gradual shift of the requests of a service to targets of another version.
struct Rollout {
  std::string Service;
  std::string From; ///< Version of the targets before the rollout; empty for all other versions.
  std::string Target;
  core::Duration Period; ///< The rollout should complete this long after it was started.
  RolloutState State = RolloutState::Running;
  uint32_t SharePermille = 0; ///< Share of requests sent to the new version while the rollout runs.
  core::Duration Elapsed;     ///< From the start to the last recorded step.
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

/// Configuration set by operators: versioned items, rollouts and evacuations. The same class is
/// used for the replicated state of the control group and for the copy on each VM. Not thread-safe.
class Catalog {
public:
  /// Validates a change and applies it. Returns InvalidArgument when the resulting catalog would be
  /// invalid, and AlreadyExists when an item has different content under the stored version; the
  /// catalog is unchanged in both cases. Parts older than the stored version have no effect.
  absl::Status apply(const Change &change, core::LogIndex at);

  /// Starts a rollout of a service from one version to another. Repeating the call for the same
  /// version has no effect. Returns InvalidArgument for an unknown service.
  absl::Status startRollout(const std::string &service, const std::string &from,
                            const std::string &version, core::Duration period, core::LogIndex at);

  /// Records progress or completion of a rollout. Ignored when the rollout is no longer running or
  /// has been replaced by another one.
  void stepRollout(const std::string &service, core::LogIndex orderedAt, RolloutState state,
                   uint32_t sharePermille, core::Duration elapsed, core::LogIndex at);

  /// Starts or ends the evacuation of a failure domain.
  void setEvacuation(const std::string &domain, bool active, core::LogIndex at);

  /// Returns the changes after `index`; 0 returns everything.
  core::Json deltaSince(core::LogIndex index) const;

  /// Applies a delta from another copy. An older delta has no effect. Returns FailedPrecondition
  /// when the delta starts after the current version, and InvalidArgument for malformed content;
  /// the catalog is then unchanged.
  absl::Status applyDelta(const core::Json &delta);

  /// Returns the index of the newest change, 0 for an empty catalog.
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
