#pragma once

#include "absl/status/statusor.h"
#include "core/Ids.h"

#include <cstddef>
#include <cstdint>
#include <deque>
#include <set>
#include <string>
#include <string_view>
#include <vector>

namespace briarspar::daemon {

/// Encodes a VM's acknowledgement of an encoded crash notice.
std::string encodeCrashNoticeAck(std::string_view notice);

/// Returns the hash of the acknowledged notice.
absl::StatusOr<uint64_t> decodeCrashNoticeAck(std::string_view bytes);

/// Tracks which VMs have acknowledged the leader's crash notices. The reporter of a crash may
/// answer its caller once every VM that may serve a retry has acknowledged the notice or can no
/// longer serve. Not thread-safe.
class CrashNotices {
public:
  /// An acknowledgement to send to a reporter.
  struct Ack {
    core::VmId Reporter;
    std::string Notice; ///< Encoded balance::CrashReport that all serving VMs know.
  };

  /// Starts tracking a notice sent to the recipients because of a report. `unknownVms` is true if
  /// VMs that are unknown to the leader may hold leases of its predecessor. Returns the
  /// acknowledgements to send now: one if there is nobody to wait for.
  std::vector<Ack> sent(const core::VmId &reporter, std::string notice,
                        std::set<core::VmId> recipients, bool unknownVms);

  /// Handles a recipient's acknowledgement of the notice with this hash.
  std::vector<Ack> acknowledged(const core::VmId &recipient, uint64_t notice);

  /// Handles a recipient whose serving lease has expired.
  std::vector<Ack> expired(const core::VmId &recipient);

  /// Handles the end of the last lease that the leader's predecessor may have granted.
  std::vector<Ack> predecessorLeasesExpired();

  void clear() { Pending.clear(); }

private:
  struct Entry {
    core::VmId Reporter;
    std::string Notice;
    uint64_t Hash = 0;
    std::set<core::VmId> Missing;
    bool UnknownVms = false;
  };

  std::vector<Ack> takeComplete();

  std::deque<Entry> Pending;
};

} // namespace briarspar::daemon
