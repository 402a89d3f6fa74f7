#include "daemon/ClaimBridge.h"

#include <utility>

namespace briarspar::daemon {

using idempotency::CallerReply;

CallerReply ClaimBridge::run(idempotency::RequestStart request, const Send &send) {
  auto caller = std::make_shared<Caller>();
  std::unique_lock<std::mutex> lock(Mutex);
  request.Caller = ++LastCaller;
  Callers[request.Caller] = caller;
  lock.unlock();
  PostToControl([this, request] { StartClaim(request); });

  lock.lock();
  while (true) {
    caller->Changed.wait(lock, [&] { return caller->ToSend || caller->Answer; });
    if (caller->Answer)
      break;
    idempotency::Dispatch dispatch = *std::exchange(caller->ToSend, std::nullopt);
    lock.unlock();
    idempotency::DispatchResult result = send(dispatch);
    PostToControl([this, attempt = dispatch.Attempt, result] { FinishDispatch(attempt, result); });
    lock.lock();
  }
  Callers.erase(request.Caller);
  return *caller->Answer;
}

void ClaimBridge::onAction(const idempotency::ClaimAction &action) {
  std::lock_guard<std::mutex> lock(Mutex);
  if (const auto *dispatch = std::get_if<idempotency::Dispatch>(&action)) {
    auto it = Callers.find(dispatch->Caller);
    if (it == Callers.end())
      return;
    it->second->ToSend = *dispatch;
    it->second->Changed.notify_one();
  } else if (const auto *reply = std::get_if<idempotency::Reply>(&action)) {
    auto it = Callers.find(reply->Caller);
    if (it == Callers.end())
      return;
    it->second->Answer = reply->Content;
    it->second->Changed.notify_one();
  }
}

} // namespace briarspar::daemon
