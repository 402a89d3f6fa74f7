#include "entry/RouteTable.h"

#include <algorithm>

namespace briarspar::entry {

RouteTable::RouteTable(const catalog::Catalog &catalog) {
  for (const auto &[name, held] : catalog.routes())
    if (held.Value)
      ByHost[held.Value->Host].push_back(std::make_shared<const catalog::Route>(*held.Value));
  for (auto &[host, routes] : ByHost)
    std::sort(routes.begin(), routes.end(), [](const RoutePtr &a, const RoutePtr &b) {
      return a->Prefix.size() > b->Prefix.size();
    });
  for (const auto &[name, held] : catalog.customers()) {
    if (!held.Value)
      continue;
    auto customer = std::make_shared<const catalog::Customer>(*held.Value);
    for (const std::string &key : customer->Keys)
      ByKey[key] = customer;
  }
}

std::shared_ptr<const catalog::Route> RouteTable::find(std::string_view host,
                                                       std::string_view target) const {
  auto routes = ByHost.find(std::string(host));
  if (routes == ByHost.end())
    return nullptr;
  std::string_view path = target.substr(0, target.find('?'));
  for (const RoutePtr &route : routes->second)
    if (path.substr(0, route->Prefix.size()) == route->Prefix)
      return route;
  return nullptr;
}

std::shared_ptr<const catalog::Customer> RouteTable::customerOf(std::string_view key) const {
  auto it = ByKey.find(std::string(key));
  return it == ByKey.end() ? nullptr : it->second;
}

} // namespace briarspar::entry
