#include "agreement/Configuration.h"

#include "agreement/Cbor.h"

namespace briarspar::agreement {

Configuration makeConfiguration(const std::set<VoterId> &voters) {
  Configuration configuration;
  configuration.Voters = voters;
  for (const VoterId &id : voters)
    configuration.NewestIncarnations[id.Vm] = id.DataIncarnation;
  return configuration;
}

std::string encodeConfiguration(const Configuration &configuration) {
  return core::encodeCbor(configurationJson(configuration));
}

absl::StatusOr<Configuration> decodeConfiguration(std::string_view bytes) {
  return decodeWith(bytes, readConfiguration);
}

} // namespace briarspar::agreement
