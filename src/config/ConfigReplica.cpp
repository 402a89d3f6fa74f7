#include "config/ConfigReplica.h"
#include "config/Text.h"

namespace briarspar::config {

ConfigReplica::DeltaResult ConfigReplica::receive(const Delta &delta) {
  if (DigestMismatch)
    return DeltaResult::NeedFullState;
  core::ConfigVersion before = version();
  absl::Status status = Store.applyDelta(delta);
  if (absl::IsFailedPrecondition(status))
    return DeltaResult::Gap;
  if (!status.ok()) {
    DigestMismatch = true;
    return DeltaResult::NeedFullState;
  }
  return version() > before ? DeltaResult::Applied : DeltaResult::Unchanged;
}

absl::Status ConfigReplica::receiveFullState(std::string_view bytes) {
  ConfigStore next;
  if (absl::Status status = next.restore(bytes); !status.ok())
    return status;
  if (next.version() < version())
    return absl::FailedPreconditionError(concat("full state has version ", next.version().Value,
                                                "; the version here is already ", version().Value));
  Store = std::move(next);
  DigestMismatch = false;
  return absl::OkStatus();
}

} // namespace briarspar::config
