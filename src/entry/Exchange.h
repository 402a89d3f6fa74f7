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

/// Timeouts and buffer sizes of an exchange.
struct ExchangeSettings {
  size_t MaxBufferedRequest = 64UL * 1024;  ///< Larger request bodies are streamed to the target;
                                            ///< smaller ones are buffered, which allows a retry.
  size_t MaxBufferedResponse = 64UL * 1024; ///< Larger response bodies are streamed to the caller;
                                            ///< smaller ones are buffered until complete.
  core::Duration DefaultDeadline{10'000};   ///< Used when the caller sends no deadline.
  /// The response is sent this long before the deadline of the caller, to arrive in time.
  core::Duration ResponseMargin{30};
  core::Duration TargetGrace{60}; ///< Additional time after the deadline for the own timeout
                                  ///< response of the target to arrive.
  /// A response that is being streamed is cut this long after the deadline of the caller.
  core::Duration MaxStreamOverrun{10'000};
  core::Duration MinSendTime{20}; ///< A request with less time left is not sent to a target.
};

/// State shared by all exchanges of this VM.
struct EntryContext {
  http::HeaderNames Names;
  ExchangeSettings Settings;
  std::shared_ptr<const RouteTable> Routes; ///< Null until a configuration has been received.
  catalog::CallerLimits Limits;
  RateLimiter Rates;
  RetryAfterPolicy RetryAfter;
  RetryBudget Retries;
  TargetTable Targets;
  balance::CrashGuard Crashes;
  core::EventSink *Events = nullptr;
  uint64_t CatalogVersion = 0; ///< Written to log events.
  uint64_t ListVersion = 0;    ///< Written to log events.
};

/// Records what the head of a response says about its target. `isDue` is false for a response that
/// belongs to no request in progress: it may be old, so its relative times are not used.
void recordNotices(EntryContext &context, const core::TargetId &target, const http::Head &head,
                   bool isDue, core::Time now);

/// The connection that carries a request to its target.
struct TargetSend {
  uint64_t Connection = 0; ///< Number of the connection; 0 if none was available.
  uint64_t Exchange = 0;   ///< Number of the exchange on the connection, from 1.
};

/// What shows that a request has not run and will not run.
enum class NotRunEvidence : uint8_t {
  NotSent,       ///< The request was not sent.
  NotConnected,  ///< The connection of its last send was not established.
  StatedByTarget ///< The target of its last send responded that it did not run the request.
};

/// Operations that an Exchange requests from its owner.
class ExchangeActions {
public:
  virtual ~ExchangeActions() = default;

  /// Opens or reuses a connection to a target and sends the request head. `mustBeOpen` is set for
  /// requests that must not be sent twice: a reused connection must be known to be still open.
  virtual TargetSend sendToTarget(const Pick &target, const http::Head &head, bool mustBeOpen) = 0;
  virtual void sendBodyToTarget(std::string_view bytes) = 0;
  virtual void endBodyToTarget() = 0;

  /// Checks the customer's rate limit. Returns the decision, or nullopt when it will be passed to
  /// onRateDecided() later.
  virtual std::optional<bool> requestRate(const std::string &customer) = 0;

  /// Returns whether sendToTarget() could use an open connection that was established by a time.
  virtual bool mayReuseConnection(const std::string &host, uint16_t port, const http::Head &head,
                                  bool mustBeOpen, core::Time openedBy) = 0;

  /// Closes the connection to the target, which cancels the request there.
  virtual void cancelTargetRequest() = 0;

  /// Lets the target complete the request and discards its response.
  virtual void detachTargetRequest() = 0;

  virtual void sendResponseHead(const http::Head &head) = 0;
  virtual void sendResponseBody(std::string_view bytes) = 0;
  virtual void endResponse() = 0;

  /// Closes the connection to the caller because the response cannot be completed.
  virtual void abortResponse() = 0;
};

/// State machine for one request, from its head to the end of the response. Performs no I/O: the
/// owner reports events and carries out the actions. Not thread-safe.
class Exchange {
public:
  Exchange(EntryContext &context, ExchangeActions &actions, http::Head head, core::Time now);

  /// Authorizes and dispatches the request; to be called once, after construction.
  void start(core::Time now);

  /// Refuses the request, in place of start(), because this VM is about to end.
  void refuseStopping(core::Time now);

  void onCallerBody(std::string_view bytes, core::Time now);
  void onCallerEnd(core::Time now);
  void onCallerGone(core::Time now);

  /// Handles a rate decision that requestRate() left pending.
  void onRateDecided(bool granted, core::Time now);

  /// Handles that a new connection to the target is open; nothing has been sent on it yet.
  void onTargetConnected(core::Duration time, core::Time now);
  void onResponseHead(http::Head head, core::Time now);
  void onResponseBody(std::string_view bytes, core::Time now);
  void onResponseEnd(core::Time now);
  void onTargetLost(http::ConnectionLoss loss, core::Time now);

  /// Handles timeouts; to be called at or after wakeAt().
  void onTimer(core::Time now);
  core::Time wakeAt() const { return WakeAt; }

  bool isDone() const { return State == Done; }

  /// True while a target processes the request or its response is being streamed.
  bool isAtTarget() const { return State == AtTarget || State == Streaming; }

private:
  enum StateKind : uint8_t { Receiving, AtTarget, Streaming, Done };

  /// A response generated by this VM. A refusal guarantees that the request has not run and will
  /// not run.
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
  bool isNotRun(const http::Head &response) const;
  bool mayPassOn(const http::Head &response) const;
  void finishBufferedResponse(core::Time now);
  void recordReportedLoad(const http::Head &head, core::Time now);
  bool mayRetry(bool arrived, core::Time now);
  void retry(const char *reason, core::Time now);
  void refuse(const LocalResponse &answer, core::Time now);
  void sendLocalResponse(const LocalResponse &answer, core::Time now);
  void finish(const char *result, int status, core::Time now);
  void recordOutcome(TargetOutcome outcome, core::Time now);
  uint64_t fingerprint() const;
  core::Duration retryAfterNoTarget(core::Time now) const;
  void logNoTarget(const PickRequest &request) const;
  const char *evidenceName() const;
  void logSend(const Pick &pick, core::Time now) const;
  std::string rateHolder(core::Time now) const;
  void log(core::EventId id, core::Json details) const;

  EntryContext &Context;
  ExchangeActions &Actions;
  http::Head Request;
  const core::Time ArrivedAt;
  core::Time Deadline;       ///< Time by which the caller must have a response.
  core::Time CallerDeadline; ///< Same, without the timeout of the route.
  core::Time WakeAt;
  StateKind State = Receiving;
  std::string Id;
  std::shared_ptr<const catalog::Route> Route;
  std::shared_ptr<const catalog::Customer> Customer;
  std::string Service;
  std::optional<uint64_t> Object;

  std::string Body; ///< The request body while it is buffered.
  bool BodyBuffered = true;
  bool BodyEnded = false;
  uint64_t BodyBytes = 0;

  std::optional<Pick> Target;
  std::vector<core::TargetId> Tried;
  uint32_t Sends = 0;
  TargetSend LastSend;
  bool MayHaveRun = false; ///< Some send may have run at its target.
  /// What shows that the last send has not run; nullopt while that is not known.
  std::optional<NotRunEvidence> Evidence = NotRunEvidence::NotSent;
  bool RatePending = false; ///< Waiting for the decision about the customer's rate.
  bool RateSpent = false;   ///< The request has been charged to the customer's rate.
  core::Time SentAt;
  double TransferredBytes = 0; ///< Approximate size of the request and its response.

  http::Head Response;
  bool HasResponse = false;
  std::string ResponseBytes;
};

} // namespace briarspar::entry
