#include "agreement/LogStorage.h"

namespace briarspar::agreement {

Entry bootstrapEntry(const Configuration &configuration) {
  return {core::LogIndex(1), core::Term(0), EntryKind::Configuration,
          encodeConfiguration(configuration)};
}

} // namespace briarspar::agreement
