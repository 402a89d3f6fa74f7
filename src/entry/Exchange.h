#pragma once

#include "balance/CrashGuard.h"
#include "core/Event.h"
#include "entry/RateLimiter.h"
#include "entry/RetryAfterPolicy.h"
#include "entry/RetryBudget.h"
#include "entry/RouteTable.h"
#include "entry/TargetTable.h"
#include "http/ClientConnection.h"
#include "http/Head.h"
#include "http/HeaderNames.h"

#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace briarspar::entry {

/// Times and sizes of one exchange.
struct ExchangeSettings {
  size_t MaxBufferedRequest = 64UL * 1024; ///< A request up to this size is sent when it is whole,
                                           ///< and may be sent again.
  size_t MaxBufferedResponse =
      64UL * 1024; ///< An answer up to this size is passed on when it is whole.
  core::Duration DefaultDeadline{10'000}; ///< For callers that name none.
  core::Duration ResponseMargin{30}; ///< An answer is settled this long before the caller gives
                                     ///< up, to reach it in time.
  core::Duration TargetGrace{60}; ///< Time beyond its deadline for a target's own answer to arrive.
  core::Duration MinSendTime{20}; ///< With less time left a request is not sent any more.
};

/// What this VM holds and decides with, shared by all exchanges.
struct EntryContext {
  http::HeaderNames Names;
  ExchangeSettings Settings;
  std::shared_ptr<const RouteTable> Routes; ///< Null until a configuration has arrived.
  catalog::CallerLimits Limits;
  RateLimiter Rates;
  RetryAfterPolicy RetryAfter;
  RetryBudget Retries;
  TargetTable Targets;
  balance::CrashGuard Crashes;
  core::EventSink *Events = nullptr;
  uint64_t CatalogVersion = 0; ///< For log lines.
  uint64_t ListVersion = 0;    ///< For log lines.
};

/// What an exchange asks of its surroundings.
class ExchangeActions {
public:
  virtual ~ExchangeActions() = default;

  /// Opens or reuses a connection to a target and sends the head. `fresh`: the request must not be
  /// sent twice, so the connection has to be one that is surely open.
  virtual void sendToTarget(const Pick &target, const http::Head &head, bool mustBeOpen) = 0;
  virtual void sendBodyToTarget(std::string_view bytes) = 0;
  virtual void endBodyToTarget() = 0;

  /// Asks whether the customer's rate has room for the request. Returns the decision, or nothing
  /// when it comes later, by onRateDecided.
  virtual std::optional<bool> requestRate(const std::string &customer) = 0;

  /// Closes the connection to the target, which stops its work.
  virtual void cancelTargetRequest() = 0;

  /// Leaves the target to finish its work; its answer is discarded.
  virtual void detachTargetRequest() = 0;

  virtual void sendResponseHead(const http::Head &head) = 0;
  virtual void sendResponseBody(std::string_view bytes) = 0;
  virtual void endResponse() = 0;

  /// The answer cannot be completed: the connection to the caller must be closed.
  virtual void abortResponse() = 0;
};

/// One request of a caller, from its head to the end of its answer, as a state machine without
/// input and output. The embedder reports what happens and carries out the actions, on one thread.
class Exchange {
public:
  Exchange(EntryContext &context, ExchangeActions &actions, http::Head head, core::Time now);

  /// Decides about the request; to be called once, after construction.
  void start(core::Time now);

  void onCallerBody(std::string_view bytes, core::Time now);
  void onCallerEnd(core::Time now);
  void onCallerGone(core::Time now);

  /// Takes the decision that requestRate left open.
  void onRateDecided(bool granted, core::Time now);

  void onTargetConnected(core::Duration time);
  void onAnswerHead(http::Head head, core::Time now);
  void onAnswerBody(std::string_view bytes, core::Time now);
  void onAnswerEnd(core::Time now);
  void onTargetLost(http::ConnectionLoss loss, core::Time now);

  /// Advances time; to be called at wakeAt() or later.
  void onTimer(core::Time now);
  core::Time wakeAt() const { return WakeAt; }

  bool isDone() const { return State == Done; }

  /// True while a target works on the request or its answer is being passed on.
  bool isAtTarget() const { return State == AtTarget || State == Streaming; }

private:
  enum StateKind : uint8_t { Receiving, AtTarget, Streaming, Done };

  /// An answer of our own. A refusal promises that the request has not run and will not.
  struct LocalResponse {
    int Status = 0;
    const char *Reason = "";
    core::Duration RetryAfter{0};
  };

  bool admit(core::Time now);
  bool authenticate(core::Time now);
  bool applyRateDecision(bool granted, core::Time now);
  void dispatch(core::Time now);
  void send(const Pick &pick, core::Time now);
  http::Head targetHead(const Pick &pick, core::Time now) const;
  void finishBufferedResponse(core::Time now);
  void recordReportedLoad(const http::Head &head, core::Time now);
  bool mayRetry(bool arrived, core::Time now);
  void retry(const char *reason, core::Time now);
  void refuse(const LocalResponse &answer, core::Time now);
  void sendLocalResponse(const LocalResponse &answer, core::Time now);
  void finish(const char *result, int status, core::Time now);
  void recordOutcome(TargetOutcome outcome, core::Time now);
  uint64_t fingerprint() const;
  void logNoTarget(const PickRequest &request) const;
  std::string rateHolder(core::Time now) const;
  void log(core::EventId id, core::Json details) const;

  EntryContext &Context;
  ExchangeActions &Actions;
  http::Head Request;
  const core::Time ArrivedAt;
  core::Time Deadline; ///< The caller must have an answer by then.
  core::Time WakeAt;
  StateKind State = Receiving;
  std::string Id;
  std::shared_ptr<const catalog::Route> Route;
  std::shared_ptr<const catalog::Customer> Customer;
  std::string Service;
  std::optional<uint64_t> Object;

  std::string Body; ///< The request's body while it is held.
  bool BodyBuffered = true;
  bool BodyEnded = false;
  uint64_t BodyBytes = 0;

  std::optional<Pick> Target;
  std::vector<core::TargetId> Tried;
  uint32_t Sends = 0;
  bool MayHaveRun = false;
  bool RatePending = false; ///< The decision about the customer's rate has not come.
  bool RateSpent = false;   ///< One request of the customer's rate has been spent.
  core::Time SentAt;
  double TransferredBytes = 0; ///< Of the request and its answer, about.

  http::Head Response;
  bool HasResponse = false;
  std::string ResponseBytes;
};

} // namespace briarspar::entry
