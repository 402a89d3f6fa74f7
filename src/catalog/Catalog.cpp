#include "catalog/Catalog.h"

#include "absl/strings/str_cat.h"

#include <algorithm>
#include <set>
#include <utility>

namespace briarspar::catalog {

namespace {

/// Key of the single CallerLimits item.
const std::string &itemName(const CallerLimits &) {
  static const std::string name = "limits";
  return name;
}

template <class T> const std::string &itemName(const T &it) { return it.Name; }

template <class T> core::Json encodeItems(const ItemMap<T> &itemMap, core::LogIndex since) {
  core::Json out = core::Json::array();
  for (const auto &[name, stored] : itemMap) {
    if (stored.ChangedAt <= since)
      continue;
    core::Json j = {{"n", name}, {"v", stored.Version}, {"at", stored.ChangedAt}};
    if (stored.Value) {
      j["value"] = *stored.Value;
      j["doc"] = stored.Document;
    }
    out.push_back(std::move(j));
  }
  return out;
}

template <class T>
std::vector<std::pair<std::string, VersionedItem<T>>> decodeItems(const core::Json &j) {
  std::vector<std::pair<std::string, VersionedItem<T>>> out;
  for (const core::Json &it : j) {
    VersionedItem<T> stored;
    it.at("v").get_to(stored.Version);
    it.at("at").get_to(stored.ChangedAt);
    if (it.contains("value")) {
      stored.Value = it.at("value").get<T>();
      it.at("doc").get_to(stored.Document);
    }
    out.emplace_back(it.at("n").get<std::string>(), std::move(stored));
  }
  return out;
}

template <class T>
void mergeItems(ItemMap<T> &itemMap,
                std::vector<std::pair<std::string, VersionedItem<T>>> updates) {
  for (auto &[name, stored] : updates) {
    VersionedItem<T> &current = itemMap[name];
    if (current.Version <= stored.Version)
      current = std::move(stored);
  }
}

template <class T> core::Json encodeUpdates(const std::vector<NewItem<T>> &items) {
  core::Json out = core::Json::array();
  for (const NewItem<T> &it : items)
    out.push_back({it.Version, it.Value, it.Document});
  return out;
}

template <class T> void decodeUpdates(const core::Json &j, std::vector<NewItem<T>> &items) {
  for (const core::Json &it : j)
    items.push_back({it.at(0).get<ItemVersion>(), it.at(1).get<T>(), it.at(2).get<std::string>()});
}

core::Json encodeRemovals(const std::vector<Removal> &removals) {
  core::Json out = core::Json::array();
  for (const Removal &it : removals)
    out.push_back({it.Name, it.Version});
  return out;
}

void decodeRemovals(const core::Json &j, std::vector<Removal> &removals) {
  for (const core::Json &it : j)
    removals.push_back({it.at(0).get<std::string>(), it.at(1).get<ItemVersion>()});
}

/// Sets the items that are newer than the stored ones. Returns AlreadyExists for different content
/// under the stored version.
template <class T>
absl::Status setItems(ItemMap<T> &itemMap, const std::vector<NewItem<T>> &items, core::LogIndex at,
                      bool &changed) {
  for (const NewItem<T> &it : items) {
    auto stored = itemMap.find(itemName(it.Value));
    if (stored != itemMap.end() && it.Version <= stored->second.Version) {
      const VersionedItem<T> &current = stored->second;
      if (it.Version == current.Version && current.Document != it.Document)
        return absl::AlreadyExistsError(
            absl::StrCat(itemName(it.Value), " has different content under the same version"));
      continue;
    }
    itemMap[itemName(it.Value)] = {it.Version, at, it.Value, it.Document};
    changed = true;
  }
  return absl::OkStatus();
}

template <class T>
absl::Status removeItems(ItemMap<T> &itemMap, const std::vector<Removal> &removals,
                         core::LogIndex at, bool &changed) {
  for (const Removal &it : removals) {
    auto stored = itemMap.find(it.Name);
    if (stored != itemMap.end() && it.Version <= stored->second.Version) {
      if (it.Version == stored->second.Version && stored->second.Value)
        return absl::AlreadyExistsError(
            absl::StrCat(it.Name, " has different content under the same version"));
      continue;
    }
    itemMap[it.Name] = {it.Version, at, std::nullopt, ""};
    changed = true;
  }
  return absl::OkStatus();
}

absl::Status checkRoute(const Route &route, const ItemMap<Service> &services) {
  double weight = 0;
  for (const WeightedService &it : route.Services) {
    auto service = services.find(it.Service);
    if (service == services.end() || !service->second.Value)
      return absl::InvalidArgumentError(
          absl::StrCat("route ", route.Name, " refers to the unknown service ", it.Service));
    if (it.Weight < 0)
      return absl::InvalidArgumentError(
          absl::StrCat("route ", route.Name, " has a negative weight"));
    weight += it.Weight;
  }
  if (weight <= 0)
    return absl::InvalidArgumentError(
        absl::StrCat("route ", route.Name, " has a total weight of 0"));
  if (route.Timeout.Ms <= 0)
    return absl::InvalidArgumentError(
        absl::StrCat("route ", route.Name, " has no positive timeout"));
  return absl::OkStatus();
}

absl::Status checkRoutes(const ItemMap<Route> &routes, const ItemMap<Service> &services) {
  std::set<std::pair<std::string, std::string>> hostPrefixes;
  for (const auto &[name, stored] : routes) {
    if (!stored.Value)
      continue;
    if (absl::Status status = checkRoute(*stored.Value, services); !status.ok())
      return status;
    if (!hostPrefixes.emplace(stored.Value->Host, stored.Value->Prefix).second)
      return absl::InvalidArgumentError(
          absl::StrCat("route ", name, " has the same host and prefix as another route"));
  }
  return absl::OkStatus();
}

absl::Status checkCustomers(const ItemMap<Customer> &customers) {
  std::set<std::string> keys;
  for (const auto &[name, stored] : customers) {
    if (!stored.Value)
      continue;
    std::set<std::string> own(stored.Value->Keys.begin(), stored.Value->Keys.end());
    for (const std::string &key : own)
      if (!keys.insert(key).second)
        return absl::InvalidArgumentError(
            absl::StrCat("customer ", name, " has the same API key as another customer"));
  }
  return absl::OkStatus();
}

} // namespace

void to_json(core::Json &j, const Change &change) {
  j = {{"routes", encodeUpdates(change.Routes)},
       {"customers", encodeUpdates(change.Customers)},
       {"services", encodeUpdates(change.Services)},
       {"limits", encodeUpdates(change.Limits)},
       {"removed_routes", encodeRemovals(change.RemovedRoutes)},
       {"removed_customers", encodeRemovals(change.RemovedCustomers)},
       {"removed_services", encodeRemovals(change.RemovedServices)}};
}

void from_json(const core::Json &j, Change &change) {
  decodeUpdates(j.at("routes"), change.Routes);
  decodeUpdates(j.at("customers"), change.Customers);
  decodeUpdates(j.at("services"), change.Services);
  decodeUpdates(j.at("limits"), change.Limits);
  decodeRemovals(j.at("removed_routes"), change.RemovedRoutes);
  decodeRemovals(j.at("removed_customers"), change.RemovedCustomers);
  decodeRemovals(j.at("removed_services"), change.RemovedServices);
}

void to_json(core::Json &j, const Rollout &it) {
  j = {{"service", it.Service},
       {"from", it.From},
       {"target", it.Target},
       {"period_ms", it.Period},
       {"state", static_cast<int>(it.State)},
       {"share", it.SharePermille},
       {"elapsed_ms", it.Elapsed},
       {"ordered_at", it.OrderedAt},
       {"at", it.ChangedAt}};
}

void from_json(const core::Json &j, Rollout &it) {
  j.at("service").get_to(it.Service);
  j.at("from").get_to(it.From);
  j.at("target").get_to(it.Target);
  j.at("period_ms").get_to(it.Period);
  it.State = static_cast<RolloutState>(j.at("state").get<int>());
  j.at("share").get_to(it.SharePermille);
  j.at("elapsed_ms").get_to(it.Elapsed);
  j.at("ordered_at").get_to(it.OrderedAt);
  j.at("at").get_to(it.ChangedAt);
}

void to_json(core::Json &j, const Evacuation &it) { j = {it.Active, it.ChangedAt}; }

void from_json(const core::Json &j, Evacuation &it) {
  j.at(0).get_to(it.Active);
  j.at(1).get_to(it.ChangedAt);
}

absl::Status Catalog::apply(const Change &change, core::LogIndex at) {
  ItemMap<Route> routes = Routes;
  ItemMap<Customer> customers = Customers;
  ItemMap<Service> services = Services;
  ItemMap<CallerLimits> limits = Limits;
  bool routesChanged = false;
  bool customersChanged = false;
  bool limitsChanged = false;
  for (const absl::Status &status :
       {setItems(services, change.Services, at, routesChanged),
        removeItems(services, change.RemovedServices, at, routesChanged),
        setItems(routes, change.Routes, at, routesChanged),
        removeItems(routes, change.RemovedRoutes, at, routesChanged),
        setItems(customers, change.Customers, at, customersChanged),
        removeItems(customers, change.RemovedCustomers, at, customersChanged),
        setItems(limits, change.Limits, at, limitsChanged)})
    if (!status.ok())
      return status;
  if (absl::Status status = checkRoutes(routes, services); routesChanged && !status.ok())
    return status;
  if (absl::Status status = checkCustomers(customers); customersChanged && !status.ok())
    return status;
  Routes = std::move(routes);
  Customers = std::move(customers);
  Services = std::move(services);
  Limits = std::move(limits);
  if (routesChanged || customersChanged || limitsChanged)
    advanceChangedAt(at);
  return absl::OkStatus();
}

absl::Status Catalog::startRollout(const std::string &service, const std::string &from,
                                   const std::string &version, core::Duration period,
                                   core::LogIndex at) {
  auto found = Services.find(service);
  if (found == Services.end() || !found->second.Value)
    return absl::InvalidArgumentError(absl::StrCat("service ", service, " is unknown"));
  Rollout &rollout = Rollouts[service];
  if (rollout.Target == version)
    return absl::OkStatus();
  // The result of an earlier rollout takes precedence over the version seen in the target list.
  std::string previous = rollout.State == RolloutState::Completed ? rollout.Target : rollout.From;
  if (previous.empty())
    previous = from;
  rollout = {service, previous, version, period, RolloutState::Running, 0, {}, at, at};
  advanceChangedAt(at);
  return absl::OkStatus();
}

void Catalog::stepRollout(const std::string &service, core::LogIndex orderedAt, RolloutState state,
                          uint32_t sharePermille, core::Duration elapsed, core::LogIndex at) {
  auto it = Rollouts.find(service);
  if (it == Rollouts.end() || it->second.OrderedAt != orderedAt ||
      it->second.State != RolloutState::Running)
    return;
  it->second.State = state;
  it->second.SharePermille = sharePermille;
  it->second.Elapsed = elapsed;
  it->second.ChangedAt = at;
  advanceChangedAt(at);
}

void Catalog::setEvacuation(const std::string &domain, bool active, core::LogIndex at) {
  Evacuation &it = Evacuations[domain];
  if (it.Active == active)
    return;
  it = {active, at};
  advanceChangedAt(at);
}

core::Json Catalog::deltaSince(core::LogIndex index) const {
  core::Json rollouts = core::Json::array();
  for (const auto &[service, it] : Rollouts)
    if (it.ChangedAt > index)
      rollouts.push_back(it);
  core::Json evacuations = core::Json::object();
  for (const auto &[domain, it] : Evacuations)
    if (it.ChangedAt > index)
      evacuations[domain] = it;
  return {{"from", index},
          {"at", ChangedAt},
          {"routes", encodeItems(Routes, index)},
          {"customers", encodeItems(Customers, index)},
          {"services", encodeItems(Services, index)},
          {"limits", encodeItems(Limits, index)},
          {"rollouts", std::move(rollouts)},
          {"evacuations", std::move(evacuations)}};
}

absl::Status Catalog::applyDelta(const core::Json &delta) {
  try {
    auto at = delta.at("at").get<core::LogIndex>();
    if (at <= ChangedAt)
      return absl::OkStatus();
    if (delta.at("from").get<core::LogIndex>() > ChangedAt)
      return absl::FailedPreconditionError("delta starts after the current version");
    auto routes = decodeItems<Route>(delta.at("routes"));
    auto customers = decodeItems<Customer>(delta.at("customers"));
    auto services = decodeItems<Service>(delta.at("services"));
    auto limits = decodeItems<CallerLimits>(delta.at("limits"));
    auto rollouts = delta.at("rollouts").get<std::vector<Rollout>>();
    auto evacuations = delta.at("evacuations").get<std::map<std::string, Evacuation>>();
    mergeItems(Routes, std::move(routes));
    mergeItems(Customers, std::move(customers));
    mergeItems(Services, std::move(services));
    mergeItems(Limits, std::move(limits));
    for (Rollout &it : rollouts)
      Rollouts[it.Service] = std::move(it);
    for (const auto &[domain, it] : evacuations)
      Evacuations[domain] = it;
    ChangedAt = at;
    return absl::OkStatus();
  } catch (const nlohmann::json::exception &e) {
    return absl::InvalidArgumentError(e.what());
  }
}

bool Catalog::isEvacuated(const std::string &domain) const {
  auto it = Evacuations.find(domain);
  return it != Evacuations.end() && it->second.Active;
}

void Catalog::advanceChangedAt(core::LogIndex at) { ChangedAt = std::max(ChangedAt, at); }

} // namespace briarspar::catalog
