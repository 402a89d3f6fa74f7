#pragma once

#include "absl/status/statusor.h"
#include "daemon/Messages.h"

#include <map>
#include <string>
#include <string_view>
#include <vector>

namespace briarspar::daemon {

/// One message within a batch.
struct MessagePart {
  std::string_view Kind; ///< An entry of kind::All.
  std::string Bytes;
};

/// CBOR form of a batch: an array in which the number of each kind precedes its bytes.
std::string encodeBatch(const std::vector<MessagePart> &parts);

/// Returns InvalidArgument for malformed bytes, an unknown kind or a batch within the batch.
absl::StatusOr<std::vector<MessagePart>> decodeBatch(std::string_view bytes);

/// Joins the messages that one round of duties sends to one process into one message. They keep
/// their order. Raft messages and messages outside a round are sent at once. Not thread-safe; used
/// on the control thread.
class MessageBatcher {
public:
  explicit MessageBatcher(Sender sender) : Send(std::move(sender)) {}

  void send(const core::VmId &to, std::string_view kind, std::string bytes);

  /// Rounds nest; the messages leave at the end of the outermost one.
  void beginBatch() { ++Depth; }
  void endBatch();

private:
  struct Pending {
    std::vector<MessagePart> Parts;
    size_t Bytes = 0;
  };

  void flush(const core::VmId &to, Pending &pending);

  Sender Send;
  std::map<core::VmId, Pending> Waiting;
  size_t Depth = 0;
};

} // namespace briarspar::daemon
