#include "agreement/Messages.h"

#include "absl/strings/numbers.h"
#include "agreement/Cbor.h"

#include <iterator>
#include <string>
#include <utility>

namespace briarspar::agreement {

using core::Json;

namespace {

core::Term readTerm(const Json &j, const char *name) { return core::Term(readNumber(j, name)); }

core::LogIndex readIndex(const Json &j, const char *name) {
  return core::LogIndex(readNumber(j, name));
}

core::Time readTime(const Json &j, const char *name) {
  return core::Time{static_cast<int64_t>(readNumber(j, name))};
}

// Written with the same key for the same meaning in all messages.
Json toJson(const PreVote &m) {
  return {{"term", m.InTerm.Value}, {"last", m.LastIndex.Value}, {"lastTerm", m.LastTerm.Value}};
}

Json toJson(const PreVoteResponse &m) {
  return {{"term", m.InTerm.Value}, {"current", m.CurrentTerm.Value}, {"granted", m.Granted}};
}

Json toJson(const Vote &m) {
  return {{"term", m.InTerm.Value}, {"last", m.LastIndex.Value}, {"lastTerm", m.LastTerm.Value}};
}

Json toJson(const VoteResponse &m) { return {{"term", m.InTerm.Value}, {"granted", m.Granted}}; }

Json toJson(const Append &m) {
  Json entries = Json::array();
  for (const Entry &entry : m.Entries)
    entries.push_back(entryJson(entry));
  return {{"term", m.InTerm.Value},
          {"prev", m.PreviousIndex.Value},
          {"prevTerm", m.PreviousTerm.Value},
          {"commit", m.Commit.Value},
          {"sent", m.SentAt.Ms},
          {"entries", std::move(entries)}};
}

Json toJson(const AppendResponse &m) {
  return {{"term", m.InTerm.Value},
          {"ok", m.Success},
          {"match", m.Match.Value},
          {"prev", m.PreviousIndex.Value},
          {"sent", m.SentAt.Ms}};
}

Json toJson(const InstallSnapshot &m) {
  // The digest uses all 64 bits, beyond the range of readNumber, and is sent as text.
  return {{"term", m.InTerm.Value},
          {"index", m.Index.Value},
          {"indexTerm", m.IndexTerm.Value},
          {"members", configurationJson(m.Members)},
          {"total", m.TotalBytes},
          {"digest", std::to_string(m.Digest)},
          {"offset", m.Offset},
          {"data", bytesJson(m.Data)},
          {"sent", m.SentAt.Ms}};
}

Json toJson(const InstallSnapshotResponse &m) {
  return {{"term", m.InTerm.Value},
          {"index", m.Index.Value},
          {"next", m.NextOffset},
          {"installed", m.Installed},
          {"sent", m.SentAt.Ms}};
}

Message readPreVote(const Json &j) {
  return PreVote{readTerm(j, "term"), readIndex(j, "last"), readTerm(j, "lastTerm")};
}

Message readPreVoteResponse(const Json &j) {
  return PreVoteResponse{readTerm(j, "term"), readTerm(j, "current"), readBool(j, "granted")};
}

Message readVote(const Json &j) {
  return Vote{readTerm(j, "term"), readIndex(j, "last"), readTerm(j, "lastTerm")};
}

Message readVoteResponse(const Json &j) {
  return VoteResponse{readTerm(j, "term"), readBool(j, "granted")};
}

void checkEntries(const Append &m) {
  core::LogIndex expected = m.PreviousIndex;
  core::Term previous = m.PreviousTerm;
  for (const Entry &entry : m.Entries) {
    expected = expected.next();
    if (entry.Index != expected)
      throwInvalidContent("entries are not contiguous");
    if (entry.InTerm < previous || entry.InTerm > m.InTerm)
      throwInvalidContent("entry terms are out of order");
    previous = entry.InTerm;
  }
  if (m.PreviousTerm > m.InTerm)
    throwInvalidContent("previous entry is newer than the leader's term");
}

Message readAppend(const Json &j) {
  Append m;
  m.InTerm = readTerm(j, "term");
  m.PreviousIndex = readIndex(j, "prev");
  m.PreviousTerm = readTerm(j, "prevTerm");
  m.Commit = readIndex(j, "commit");
  m.SentAt = readTime(j, "sent");
  for (const Json &entry : readArray(j, "entries"))
    m.Entries.push_back(readEntry(entry));
  checkEntries(m);
  return m;
}

Message readAppendResponse(const Json &j) {
  return AppendResponse{readTerm(j, "term"), readBool(j, "ok"), readIndex(j, "match"),
                        readIndex(j, "prev"), readTime(j, "sent")};
}

uint64_t readDigest(const Json &j) {
  std::string text = readText(j, "digest");
  uint64_t digest = 0;
  if (!absl::SimpleAtoi(text, &digest))
    throwInvalidContent("digest is not a number");
  return digest;
}

Message readInstallSnapshot(const Json &j) {
  InstallSnapshot m;
  m.InTerm = readTerm(j, "term");
  m.Index = readIndex(j, "index");
  m.IndexTerm = readTerm(j, "indexTerm");
  m.Members = readConfiguration(j.at("members"));
  m.TotalBytes = readNumber(j, "total");
  m.Digest = readDigest(j);
  m.Offset = readNumber(j, "offset");
  m.Data = readBytes(j, "data");
  m.SentAt = readTime(j, "sent");
  if (m.Offset > m.TotalBytes || m.Data.size() > m.TotalBytes - m.Offset)
    throwInvalidContent("chunk is outside of its snapshot");
  if (m.Index == core::LogIndex() || m.IndexTerm > m.InTerm)
    throwInvalidContent("snapshot position is invalid");
  return m;
}

Message readInstallSnapshotResponse(const Json &j) {
  return InstallSnapshotResponse{readTerm(j, "term"), readIndex(j, "index"), readNumber(j, "next"),
                                 readBool(j, "installed"), readTime(j, "sent")};
}

using MessageReader = Message (*)(const Json &);

// In the order of the alternatives of Message; the position is the message number on the wire.
constexpr MessageReader MessageReaders[] = {readPreVote,
                                            readPreVoteResponse,
                                            readVote,
                                            readVoteResponse,
                                            readAppend,
                                            readAppendResponse,
                                            readInstallSnapshot,
                                            readInstallSnapshotResponse};
static_assert(std::size(MessageReaders) == std::variant_size_v<Message>);

Envelope readEnvelope(const Json &j) {
  Envelope envelope;
  envelope.Group = GroupId(readText(j, "group"));
  envelope.From = readVoterId(j, "from");
  envelope.To = readVoterId(j, "to");
  uint64_t kind = readNumber(j, "kind");
  if (kind >= std::size(MessageReaders))
    throwInvalidContent("unknown message kind");
  envelope.Body = MessageReaders[kind](j.at("body"));
  return envelope;
}

} // namespace

std::string encodeEnvelope(const Envelope &envelope) {
  Json body = std::visit([](const auto &m) { return toJson(m); }, envelope.Body);
  return core::encodeCbor({{"group", envelope.Group.Value},
                           {"from", voterIdJson(envelope.From)},
                           {"to", voterIdJson(envelope.To)},
                           {"kind", envelope.Body.index()},
                           {"body", std::move(body)}});
}

absl::StatusOr<Envelope> decodeEnvelope(std::string_view bytes) {
  return decodeWith(bytes, readEnvelope);
}

} // namespace briarspar::agreement
