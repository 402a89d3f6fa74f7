#include "agreement/Messages.h"
#include "agreement/Cbor.h"
#include "core/testing/Property.h"

using namespace briarspar::core;
using namespace briarspar::agreement;
using briarspar::core::testing::checkProperty;

namespace {

const VoterId A{VmId("a"), Incarnation(1)};
const VoterId B{VmId("b"), Incarnation(2)};
const Configuration Members = makeConfiguration({A, B});

Append sampleAppend() {
  return {Term(3),
          LogIndex(7),
          Term(2),
          LogIndex(6),
          Time{5},
          {{LogIndex(8), Term(2), EntryKind::Command, std::string("\0\xff", 2)},
           {LogIndex(9), Term(3), EntryKind::Configuration, encodeConfiguration(Members)}}};
}

InstallSnapshot sampleChunk() {
  return {Term(3), LogIndex(9), Term(2), Members, 10, ~uint64_t{0}, 4, "abcdef", Time{5}};
}

std::vector<Message> samples() {
  return {PreVote{Term(3), LogIndex(2), Term(1)},
          PreVoteResponse{Term(3), Term(2), true},
          Vote{Term(3), LogIndex(2), Term(1)},
          VoteResponse{Term(3), true},
          sampleAppend(),
          AppendResponse{Term(3), true, LogIndex(9), LogIndex(7), Time{5}},
          sampleChunk(),
          InstallSnapshotResponse{Term(3), LogIndex(9), 10, true, Time{5}}};
}

std::string encode(const Message &body) { return encodeEnvelope({GroupId("g"), A, B, body}); }

/// Encodes `body` with one member of the inner map replaced.
std::string withMember(const Message &body, const char *name, const Json &value) {
  Json j = *decodeCbor(encode(body));
  j["body"][name] = value;
  return encodeCbor(j);
}

} // namespace

/// Guards against a field that one side writes and the other does not read.
Test(Messages, decodeReversesEncode) {
  for (const Message &body : samples()) {
    absl::StatusOr<Envelope> decoded = decodeEnvelope(encode(body));
    cr_assert(decoded.ok(), "%s", decoded.status().ToString().c_str());
    cr_assert_eq(decoded->Body.index(), body.index());
    cr_assert(decoded->From == A && decoded->To == B && decoded->Group == GroupId("g"));
    cr_assert(encode(decoded->Body) == encode(body));
  }
  Append append = std::get<Append>(decodeEnvelope(encode(sampleAppend()))->Body);
  cr_assert(append.Entries == sampleAppend().Entries);
}

/// Guards against a damaged message that ends the process or is read as another message than the
/// one it encodes.
Test(Messages, damagedBytesNeverThrow) {
  checkProperty("damaged message", [] {
    std::string bytes = encode(*rc::gen::elementOf(samples()));
    for (int n = *rc::gen::inRange(1, 4); n > 0; --n)
      bytes[*rc::gen::inRange<size_t>(0, bytes.size())] = *rc::gen::arbitrary<char>();
    bytes.resize(bytes.size() - *rc::gen::inRange<size_t>(0, 3));
    absl::StatusOr<Envelope> decoded = decodeEnvelope(bytes);
    if (decoded.ok())
      RC_ASSERT(decodeEnvelope(encodeEnvelope(*decoded)).ok());
  });
}

/// Guards against inconsistent content that later code relies on being consistent.
Test(Messages, inconsistentContentIsRejected) {
  Append gap = sampleAppend();
  gap.Entries.erase(gap.Entries.begin());
  Append newerEntry = sampleAppend();
  newerEntry.Entries[1].InTerm = Term(4);
  Append badConfiguration = sampleAppend();
  badConfiguration.Entries[1].Data = "x";
  InstallSnapshot outside = sampleChunk();
  outside.Offset = 5;
  for (const std::string &bytes :
       {encode(gap), encode(newerEntry), encode(badConfiguration), encode(outside),
        withMember(sampleAppend(), "term", -1), withMember(sampleAppend(), "term", 1.5),
        withMember(sampleAppend(), "term", true), withMember(sampleAppend(), "term", ~uint64_t{0}),
        withMember(sampleAppend(), "entries", "none"), withMember(samples()[1], "granted", 1),
        withMember(sampleChunk(), "data", "text"),
        withMember(sampleChunk(), "members", Json::object())})
    cr_assert(absl::IsInvalidArgument(decodeEnvelope(bytes).status()));
}
