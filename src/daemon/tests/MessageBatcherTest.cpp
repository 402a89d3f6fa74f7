#include "daemon/MessageBatcher.h"
#include "core/Codec.h"
#include "core/testing/Property.h"

#include <string>
#include <vector>

using namespace briarspar;
using namespace briarspar::daemon;

namespace {

struct Sent {
  std::string To;
  std::string Kind;
  std::string Bytes;
};

struct Fixture {
  std::vector<Sent> Out;
  MessageBatcher Batcher{[this](const core::VmId &to, std::string_view kind, std::string bytes) {
    Out.push_back({to.Value, std::string(kind), std::move(bytes)});
  }};
  core::VmId A{"a"};
  core::VmId B{"b"};
};

} // namespace

/// Guards against messages that are lost, reordered or sent to the wrong process by batching, and
/// against a separate frame for each of them.
Test(MessageBatcher, batchIsSentInOrder) {
  Fixture f;
  f.Batcher.beginBatch();
  f.Batcher.send(f.A, kind::Grant, "1");
  f.Batcher.beginBatch();
  f.Batcher.send(f.B, kind::Slots, "2");
  f.Batcher.endBatch();
  f.Batcher.send(f.A, kind::Renewal, "3");
  cr_assert(f.Out.empty());
  f.Batcher.endBatch();
  cr_assert(f.Out.size() == 2);
  cr_assert(f.Out[1].To == "b" && f.Out[1].Kind == kind::Slots && f.Out[1].Bytes == "2");
  auto parts = decodeBatch(f.Out[0].Bytes);
  cr_assert(f.Out[0].To == "a" && f.Out[0].Kind == kind::Batch && parts.ok());
  cr_assert(parts->size() == 2);
  cr_assert((*parts)[0].Kind == kind::Grant && (*parts)[0].Bytes == "1");
  cr_assert((*parts)[1].Kind == kind::Renewal && (*parts)[1].Bytes == "3");
}

/// Guards against Raft messages that are delayed until the end of a batch, and against messages
/// outside a batch that are never sent.
Test(MessageBatcher, urgentMessagesAreSentImmediately) {
  Fixture f;
  f.Batcher.send(f.A, kind::Claim, "1");
  f.Batcher.beginBatch();
  f.Batcher.send(f.A, kind::Raft, "2");
  cr_assert(f.Out.size() == 2);
}

/// Guards against a batch that exceeds the receiver's frame size limit, and against a long message
/// that overtakes an earlier short one.
Test(MessageBatcher, longMessagesAreNotBatched) {
  Fixture f;
  f.Batcher.beginBatch();
  f.Batcher.send(f.A, kind::Grant, "1");
  f.Batcher.send(f.A, kind::RenewalResponse, std::string(100'000, 'x'));
  f.Batcher.endBatch();
  cr_assert(f.Out.size() == 2);
  cr_assert(f.Out[0].Kind == kind::Grant && f.Out[1].Kind == kind::RenewalResponse);
}

/// Guards against malformed batches that crash the process or cause unbounded recursion.
Test(MessageBatcher, malformedBatchesAreRejected) {
  std::string inner = encodeBatch({{kind::Grant, "1"}});
  cr_assert(decodeBatch(inner).ok());
  cr_assert_not(decodeBatch(encodeBatch({{kind::Batch, inner}})).ok());
  for (const core::Json &j : {core::Json(1), core::Json{1}, core::Json{1, 2},
                              core::Json{200, core::Json::binary({1})}, core::Json::object()})
    cr_expect_not(decodeBatch(core::encodeCbor(j)).ok(), "%s", j.dump().c_str());
  core::testing::checkProperty("arbitrary bytes do not crash the decoder",
                               [](const std::vector<uint8_t> &raw) {
                                 (void)decodeBatch(std::string(raw.begin(), raw.end()));
                               });
}
