#pragma once

#include "absl/types/span.h"
#include "catalog/Catalog.h"

#include <string>
#include <string_view>
#include <variant>
#include <vector>

namespace briarspar::control {

/// A caller asks which entry VMs to use.
struct LookupCall {
  std::string Host;
  core::RegionId Region; ///< Of the caller.
  core::DomainId Domain; ///< Of the caller.
};
struct ReadItemsCall {};
struct ChangeItemsCall {
  catalog::Change Change;
};
struct StartRolloutCall {
  std::string Service;
  std::string Version;
  core::Duration Period;
};
struct ReadRolloutCall {
  std::string Service;
};
struct EvacuationCall {
  core::DomainId Domain;
  bool Active = false;
};
/// A call that is known but cannot be carried out as it is.
struct InvalidCall {
  std::string Reason;
};
struct UnknownCall {};

using OperatorCall = std::variant<LookupCall, ReadItemsCall, ChangeItemsCall, StartRolloutCall,
                                  ReadRolloutCall, EvacuationCall, InvalidCall, UnknownCall>;

/// How calls and their answers look on the wire. Implemented by the platform's adapter.
class OperatorFormat {
public:
  virtual ~OperatorFormat() = default;

  virtual OperatorCall read(std::string_view method, std::string_view target,
                            std::string_view body) const = 0;
  virtual std::string writeItems(const catalog::Catalog &catalog) const = 0;
  virtual std::string writeRollout(const catalog::Rollout &rollout) const = 0;
  virtual std::string writeLookup(absl::Span<const std::string> addresses,
                                  core::Duration ttl) const = 0;
  virtual std::string writeError(std::string_view reason) const = 0;
};

} // namespace briarspar::control
