#include "daemon/CrashNotices.h"

#include "absl/status/status.h"
#include "core/Codec.h"
#include "core/Hash.h"

#include <utility>

namespace briarspar::daemon {

namespace {

/// Notices tracked at the same time. A reporter repeats its report, so a dropped entry only delays
/// its acknowledgement.
constexpr size_t MaxPending = 256;

constexpr uint64_t NoticeHashSeed = 0;

uint64_t hashOf(std::string_view notice) { return core::hash64(notice, NoticeHashSeed); }

} // namespace

std::string encodeCrashNoticeAck(std::string_view notice) {
  return core::encodeCbor(core::Json(hashOf(notice)));
}

absl::StatusOr<uint64_t> decodeCrashNoticeAck(std::string_view bytes) {
  absl::StatusOr<core::Json> j = core::decodeCbor(bytes);
  if (!j.ok())
    return j.status();
  if (!j->is_number_unsigned())
    return absl::InvalidArgumentError("acknowledgement of a crash notice is not a number");
  return j->get<uint64_t>();
}

std::vector<CrashNotices::Ack> CrashNotices::sent(const core::VmId &reporter, std::string notice,
                                                  std::set<core::VmId> recipients,
                                                  bool unknownVms) {
  const uint64_t hash = hashOf(notice);
  if (Pending.size() >= MaxPending)
    Pending.pop_front();
  Pending.push_back({reporter, std::move(notice), hash, std::move(recipients), unknownVms});
  return takeComplete();
}

std::vector<CrashNotices::Ack> CrashNotices::acknowledged(const core::VmId &recipient,
                                                          uint64_t notice) {
  for (Entry &entry : Pending)
    if (entry.Hash == notice)
      entry.Missing.erase(recipient);
  return takeComplete();
}

std::vector<CrashNotices::Ack> CrashNotices::expired(const core::VmId &recipient) {
  for (Entry &entry : Pending)
    entry.Missing.erase(recipient);
  return takeComplete();
}

std::vector<CrashNotices::Ack> CrashNotices::predecessorLeasesExpired() {
  for (Entry &entry : Pending)
    entry.UnknownVms = false;
  return takeComplete();
}

std::vector<CrashNotices::Ack> CrashNotices::takeComplete() {
  std::vector<Ack> acks;
  for (auto it = Pending.begin(); it != Pending.end();) {
    if (!it->Missing.empty() || it->UnknownVms) {
      ++it;
      continue;
    }
    acks.push_back({std::move(it->Reporter), std::move(it->Notice)});
    it = Pending.erase(it);
  }
  return acks;
}

} // namespace briarspar::daemon
