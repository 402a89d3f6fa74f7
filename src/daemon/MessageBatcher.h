#pragma once

#include "absl/status/statusor.h"
#include "daemon/Messages.h"

#include <map>
#include <string>
#include <string_view>
#include <vector>

namespace briarspar::daemon {

/// One message in a batch.
struct MessagePart {
  std::string_view Kind; ///< An entry of kind::All.
  std::string Bytes;
};

/// Encodes a batch as a CBOR array that alternates kind numbers and message bodies.
std::string encodeBatch(const std::vector<MessagePart> &parts);

/// Returns InvalidArgument for malformed bytes, an unknown kind or a nested batch.
absl::StatusOr<std::vector<MessagePart>> decodeBatch(std::string_view bytes);

/// Combines messages to the same process into one message, in order. Raft messages and messages
/// sent while no batch is open are sent immediately. Not thread-safe; used on the control thread.
class MessageBatcher {
public:
  explicit MessageBatcher(Sender sender) : Send(std::move(sender)) {}

  void send(const core::VmId &to, std::string_view kind, std::string bytes);

  /// Batches nest; the messages are sent at the end of the outermost batch.
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
