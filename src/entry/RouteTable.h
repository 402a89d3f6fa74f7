#pragma once

#include "catalog/Catalog.h"

#include <memory>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace briarspar::entry {

/// Finds the route and the customer of a request. Rebuilt for each new state of the catalogue.
class RouteTable {
public:
  RouteTable() = default;
  explicit RouteTable(const catalog::Catalog &catalog);

  /// Returns the route of the host with the longest matching path prefix, or null. `target` may
  /// include a query.
  std::shared_ptr<const catalog::Route> find(std::string_view host, std::string_view target) const;

  /// Returns the customer that owns a key, or null.
  std::shared_ptr<const catalog::Customer> customerOf(std::string_view key) const;

private:
  using RoutePtr = std::shared_ptr<const catalog::Route>;

  std::unordered_map<std::string, std::vector<RoutePtr>> ByHost; ///< Longest prefix first.
  std::unordered_map<std::string, std::shared_ptr<const catalog::Customer>> ByKey;
};

} // namespace briarspar::entry
