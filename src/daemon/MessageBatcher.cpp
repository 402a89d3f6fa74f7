#include "daemon/MessageBatcher.h"

#include "core/Codec.h"

#include <algorithm>
#include <cassert>
#include <utility>

namespace briarspar::daemon {

namespace {

using core::Json;

/// Longer messages gain nothing from a shared frame and would be copied once more.
constexpr size_t MaxJoinedBytes = size_t{16} * 1024;

uint64_t numberOf(std::string_view name) {
  const auto *it = std::find(kind::All.begin(), kind::All.end(), name);
  assert(it != kind::All.end() && "every kind is listed");
  return static_cast<uint64_t>(it - kind::All.begin());
}

} // namespace

std::string encodeBatch(const std::vector<MessagePart> &parts) {
  Json j = Json::array();
  for (const MessagePart &part : parts) {
    j.push_back(numberOf(part.Kind));
    j.push_back(Json::binary({part.Bytes.begin(), part.Bytes.end()}));
  }
  return core::encodeCbor(j);
}

absl::StatusOr<std::vector<MessagePart>> decodeBatch(std::string_view bytes) {
  absl::StatusOr<Json> j = core::decodeCbor(bytes);
  if (!j.ok())
    return j.status();
  if (!j->is_array() || j->size() % 2 != 0)
    return absl::InvalidArgumentError("batch is not an array of pairs");
  std::vector<MessagePart> parts;
  for (size_t n = 0; n < j->size(); n += 2) {
    const Json &number = (*j)[n];
    const Json &body = (*j)[n + 1];
    if (!number.is_number_unsigned() || number.get<uint64_t>() >= kind::All.size() ||
        !body.is_binary())
      return absl::InvalidArgumentError("batch has a malformed part");
    std::string_view name = kind::All[number.get<uint64_t>()];
    if (name == kind::Batch)
      return absl::InvalidArgumentError("batch within a batch");
    const auto &raw = body.get_binary();
    parts.push_back({name, std::string(raw.begin(), raw.end())});
  }
  return parts;
}

void MessageBatcher::send(const core::VmId &to, std::string_view kind, std::string bytes) {
  // A commit waits for Raft messages, so they do not wait for the other duties of the round.
  if (Depth == 0 || kind == kind::Raft) {
    Send(to, kind, std::move(bytes));
    return;
  }
  Pending &pending = Waiting[to];
  if (pending.Bytes + bytes.size() > MaxJoinedBytes)
    flush(to, pending);
  pending.Bytes += bytes.size();
  pending.Parts.push_back({kind, std::move(bytes)});
}

void MessageBatcher::endBatch() {
  assert(Depth > 0 && "a round ends after its begin");
  if (--Depth > 0)
    return;
  std::map<core::VmId, Pending> all = std::exchange(Waiting, {});
  for (auto &[to, pending] : all)
    flush(to, pending);
}

void MessageBatcher::flush(const core::VmId &to, Pending &pending) {
  Pending out = std::exchange(pending, {});
  if (out.Parts.size() == 1)
    Send(to, out.Parts.front().Kind, std::move(out.Parts.front().Bytes));
  else if (!out.Parts.empty())
    Send(to, kind::Batch, encodeBatch(out.Parts));
}

} // namespace briarspar::daemon
