#pragma once

#include "idempotency/ClaimCoordinator.h"

#include <condition_variable>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <optional>

namespace briarspar::daemon {

/// Connects traffic threads that run non-idempotent requests with the ClaimCoordinator on the
/// control thread.
class ClaimBridge {
public:
  /// Runs a function on the control thread.
  using Post = std::function<void(std::function<void()>)>;
  using Start = std::function<void(const idempotency::RequestStart &)>;
  using Finish = std::function<void(uint64_t attempt, const idempotency::DispatchResult &)>;
  /// Sends the request to a target on the calling traffic thread.
  using Send = std::function<idempotency::DispatchResult(const idempotency::Dispatch &)>;

  ClaimBridge(Post post, Start start, Finish finish)
      : PostToControl(std::move(post)), StartClaim(std::move(start)),
        FinishDispatch(std::move(finish)) {}

  /// Claims the request, calls `send` at most once, and returns what the caller is told. Blocks;
  /// for traffic threads.
  idempotency::CallerReply run(idempotency::RequestStart request, const Send &send);

  /// Takes a Dispatch or Reply action. For the control thread.
  void onAction(const idempotency::ClaimAction &action);

private:
  struct Caller {
    std::condition_variable Changed;
    std::optional<idempotency::Dispatch> ToSend;
    std::optional<idempotency::CallerReply> Answer;
  };

  Post PostToControl;
  Start StartClaim;
  Finish FinishDispatch;
  std::mutex Mutex;
  idempotency::CallerId LastCaller = 0;
  std::map<idempotency::CallerId, std::shared_ptr<Caller>> Callers;
};

} // namespace briarspar::daemon
