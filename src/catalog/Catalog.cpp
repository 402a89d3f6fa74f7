#include "catalog/Catalog.h"

#include "absl/strings/str_cat.h"

#include <algorithm>
#include <set>
#include <utility>

namespace briarspar::catalog {

namespace {

/// Name under which the only CallerLimits are held.
const std::string &nameOf(const CallerLimits &) {
  static const std::string name = "limits";
  return name;
}

template <class T> const std::string &nameOf(const T &it) { return it.Name; }

template <class T> core::Json encodeItems(const ItemMap<T> &shelf, core::LogIndex since) {
  core::Json out = core::Json::array();
  for (const auto &[name, held] : shelf) {
    if (held.ChangedAt <= since)
      continue;
    core::Json j = {{"n", name}, {"v", held.Version}, {"at", held.ChangedAt}};
    if (held.Value) {
      j["value"] = *held.Value;
      j["doc"] = held.Document;
    }
    out.push_back(std::move(j));
  }
  return out;
}

template <class T>
std::vector<std::pair<std::string, VersionedItem<T>>> decodeItems(const core::Json &j) {
  std::vector<std::pair<std::string, VersionedItem<T>>> out;
  for (const core::Json &it : j) {
    VersionedItem<T> held;
    it.at("v").get_to(held.Version);
    it.at("at").get_to(held.ChangedAt);
    if (it.contains("value")) {
      held.Value = it.at("value").get<T>();
      it.at("doc").get_to(held.Document);
    }
    out.emplace_back(it.at("n").get<std::string>(), std::move(held));
  }
  return out;
}

template <class T>
void mergeItems(ItemMap<T> &shelf, std::vector<std::pair<std::string, VersionedItem<T>>> news) {
  for (auto &[name, held] : news) {
    VersionedItem<T> &mine = shelf[name];
    if (mine.Version <= held.Version)
      mine = std::move(held);
  }
}

template <class T> core::Json encodeNew(const std::vector<NewItem<T>> &items) {
  core::Json out = core::Json::array();
  for (const NewItem<T> &it : items)
    out.push_back({it.Version, it.Value, it.Document});
  return out;
}

template <class T> void decodeNew(const core::Json &j, std::vector<NewItem<T>> &items) {
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

/// Sets the items that are newer than what is held. Reports other content under the held version.
template <class T>
absl::Status setItems(ItemMap<T> &shelf, const std::vector<NewItem<T>> &items, core::LogIndex at,
                      bool &changed) {
  for (const NewItem<T> &it : items) {
    auto held = shelf.find(nameOf(it.Value));
    if (held != shelf.end() && it.Version <= held->second.Version) {
      const VersionedItem<T> &mine = held->second;
      if (it.Version == mine.Version && mine.Document != it.Document)
        return absl::AlreadyExistsError(
            absl::StrCat(nameOf(it.Value), " has other content under this version"));
      continue;
    }
    shelf[nameOf(it.Value)] = {it.Version, at, it.Value, it.Document};
    changed = true;
  }
  return absl::OkStatus();
}

template <class T>
absl::Status removeItems(ItemMap<T> &shelf, const std::vector<Removal> &removals, core::LogIndex at,
                         bool &changed) {
  for (const Removal &it : removals) {
    auto held = shelf.find(it.Name);
    if (held != shelf.end() && it.Version <= held->second.Version) {
      if (it.Version == held->second.Version && held->second.Value)
        return absl::AlreadyExistsError(
            absl::StrCat(it.Name, " has other content under this version"));
      continue;
    }
    shelf[it.Name] = {it.Version, at, std::nullopt, ""};
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
          absl::StrCat("route ", route.Name, " names the unknown service ", it.Service));
    if (it.Weight < 0)
      return absl::InvalidArgumentError(
          absl::StrCat("route ", route.Name, " has a negative weight"));
    weight += it.Weight;
  }
  if (weight <= 0)
    return absl::InvalidArgumentError(absl::StrCat("route ", route.Name, " has no weight"));
  if (route.Timeout.Ms <= 0)
    return absl::InvalidArgumentError(absl::StrCat("route ", route.Name, " has no timeout"));
  return absl::OkStatus();
}

absl::Status checkRoutes(const ItemMap<Route> &routes, const ItemMap<Service> &services) {
  std::set<std::pair<std::string, std::string>> places;
  for (const auto &[name, held] : routes) {
    if (!held.Value)
      continue;
    if (absl::Status status = checkRoute(*held.Value, services); !status.ok())
      return status;
    if (!places.emplace(held.Value->Host, held.Value->Prefix).second)
      return absl::InvalidArgumentError(
          absl::StrCat("route ", name, " shares host and prefix with another route"));
  }
  return absl::OkStatus();
}

absl::Status checkCustomers(const ItemMap<Customer> &customers) {
  std::set<std::string> keys;
  for (const auto &[name, held] : customers) {
    if (!held.Value)
      continue;
    std::set<std::string> own(held.Value->Keys.begin(), held.Value->Keys.end());
    for (const std::string &key : own)
      if (!keys.insert(key).second)
        return absl::InvalidArgumentError(
            absl::StrCat("customer ", name, " shares a key with another customer"));
  }
  return absl::OkStatus();
}

} // namespace

void to_json(core::Json &j, const Change &change) {
  j = {{"routes", encodeNew(change.Routes)},
       {"customers", encodeNew(change.Customers)},
       {"services", encodeNew(change.Services)},
       {"limits", encodeNew(change.Limits)},
       {"removed_routes", encodeRemovals(change.RemovedRoutes)},
       {"removed_customers", encodeRemovals(change.RemovedCustomers)},
       {"removed_services", encodeRemovals(change.RemovedServices)}};
}

void from_json(const core::Json &j, Change &change) {
  decodeNew(j.at("routes"), change.Routes);
  decodeNew(j.at("customers"), change.Customers);
  decodeNew(j.at("services"), change.Services);
  decodeNew(j.at("limits"), change.Limits);
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
  bool routing = false;
  bool callers = false;
  bool bounds = false;
  for (const absl::Status &status : {setItems(services, change.Services, at, routing),
                                     removeItems(services, change.RemovedServices, at, routing),
                                     setItems(routes, change.Routes, at, routing),
                                     removeItems(routes, change.RemovedRoutes, at, routing),
                                     setItems(customers, change.Customers, at, callers),
                                     removeItems(customers, change.RemovedCustomers, at, callers),
                                     setItems(limits, change.Limits, at, bounds)})
    if (!status.ok())
      return status;
  if (absl::Status status = checkRoutes(routes, services); routing && !status.ok())
    return status;
  if (absl::Status status = checkCustomers(customers); callers && !status.ok())
    return status;
  Routes = std::move(routes);
  Customers = std::move(customers);
  Services = std::move(services);
  Limits = std::move(limits);
  if (routing || callers || bounds)
    advanceChangedAt(at);
  return absl::OkStatus();
}

absl::Status Catalog::startRollout(const std::string &service, const std::string &from,
                                   const std::string &version, core::Duration period,
                                   core::LogIndex at) {
  auto known = Services.find(service);
  if (known == Services.end() || !known->second.Value)
    return absl::InvalidArgumentError(absl::StrCat("service ", service, " is unknown"));
  Rollout &rollout = Rollouts[service];
  if (rollout.Target == version)
    return absl::OkStatus();
  // What an earlier rollout has settled goes before what the list shows.
  std::string settled = rollout.State == RolloutState::Completed ? rollout.Target : rollout.From;
  if (settled.empty())
    settled = from;
  rollout = {service, settled, version, period, RolloutState::Running, 0, {}, at, at};
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
      return absl::FailedPreconditionError("the delta starts after the held version");
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
