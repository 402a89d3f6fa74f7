#include "agreement/RecordFile.h"

#include "absl/strings/str_cat.h"
#include "core/Hash.h"

#include <optional>

namespace briarspar::agreement {

namespace {

// Record layout, little-endian: magic (4 bytes), payload length (4), synced bytes (8), checksum of
// the preceding 16 bytes and the payload (8), payload.
constexpr std::string_view Magic = "BSR1";
constexpr size_t LengthOffset = 4;
constexpr size_t SyncedOffset = 8;
constexpr size_t ChecksumOffset = 16;
constexpr size_t HeaderBytes = 24;

void putNumber(std::string &out, uint64_t n, size_t bytes) {
  for (size_t i = 0; i < bytes; ++i)
    out.push_back(static_cast<char>((n >> (8 * i)) & 0xff));
}

uint64_t getNumber(std::string_view in, size_t offset, size_t bytes) {
  uint64_t n = 0;
  for (size_t i = 0; i < bytes; ++i)
    n |= static_cast<uint64_t>(static_cast<unsigned char>(in[offset + i])) << (8 * i);
  return n;
}

uint64_t checksum(std::string_view start, std::string_view payload) {
  return core::hash64(payload, core::hash64(start));
}

struct Record {
  std::string_view Payload;
  uint64_t SyncedBytes = 0;
};

std::optional<Record> recordAt(std::string_view content, size_t offset) {
  std::string_view rest = content.substr(offset);
  if (rest.size() < HeaderBytes || rest.substr(0, Magic.size()) != Magic)
    return std::nullopt;
  uint64_t length = getNumber(rest, LengthOffset, 4);
  if (length > rest.size() - HeaderBytes)
    return std::nullopt;
  std::string_view payload = rest.substr(HeaderBytes, length);
  if (getNumber(rest, ChecksumOffset, 8) != checksum(rest.substr(0, ChecksumOffset), payload))
    return std::nullopt;
  return Record{payload, getNumber(rest, SyncedOffset, 8)};
}

/// Returns whether a valid record after `offset` shows that the bytes at `offset` were durable when
/// that record was written.
bool laterRecordShowsSync(std::string_view content, size_t offset) {
  for (size_t at = content.find(Magic, offset + 1); at != std::string_view::npos;
       at = content.find(Magic, at + 1)) {
    std::optional<Record> record = recordAt(content, at);
    if (record && record->SyncedBytes > offset)
      return true;
  }
  return false;
}

} // namespace

void appendRecord(std::string &out, std::string_view payload, uint64_t syncedBytes) {
  std::string start(Magic);
  putNumber(start, payload.size(), 4);
  putNumber(start, syncedBytes, 8);
  out += start;
  putNumber(out, checksum(start, payload), 8);
  out += payload;
}

absl::StatusOr<std::vector<std::string_view>> readRecords(std::string_view content) {
  std::vector<std::string_view> payloads;
  size_t offset = 0;
  while (offset < content.size()) {
    std::optional<Record> record = recordAt(content, offset);
    if (!record)
      break;
    payloads.push_back(record->Payload);
    offset += HeaderBytes + record->Payload.size();
  }
  if (offset < content.size() && laterRecordShowsSync(content, offset))
    return absl::DataLossError(absl::StrCat("synced record at byte ", offset, " is damaged"));
  return payloads;
}

} // namespace briarspar::agreement
