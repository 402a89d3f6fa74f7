#include "daemon/RequestPipeline.h"

#include "absl/strings/str_cat.h"
#include "daemon/HttpHeaders.h"
#include "daemon/Refusals.h"

#include <array>

namespace briarspar::daemon {

namespace {

using forwarding::Refusal;

/// Maximum number of concurrent hedges. A hedge that finds all threads busy starts late or not at
/// all.
constexpr size_t MaxHedges = 16;

constexpr std::string_view LookupPath = "/.well-known/briarspar/entry";

} // namespace

RequestPipeline::RequestPipeline(VmAgent &agent, SlotQueue &slots, ClaimBridge &claims,
                                 forwarding::TargetClientPool &targets, const core::Clock &clock,
                                 core::EventSink &events, observability::Metrics &metrics,
                                 ReportCrashes reportCrashes)
    : Agent(agent), Slots(slots), Claims(claims), Targets(targets), Clock(clock), Events(events),
      Metrics(metrics), RequestCrashReport(std::move(reportCrashes)),
      HedgeThreads(clock, MaxHedges) {}

void RequestPipeline::handle(const httplib::Request &req, httplib::Response &res) {
  if (req.path == LookupPath) {
    answerLookup(req, res);
    return;
  }
  std::atomic<uint64_t> &inFlight = Agent.requestsInFlight();
  ++inFlight;
  Exchange exchange;
  exchange.Req = &req;
  exchange.State = Agent.state();
  exchange.Arrived = Clock.now();
  exchange.Deadline = exchange.Arrived;
  Result result = run(exchange);
  write(exchange, result, res);
  --inFlight;
}

RequestPipeline::Result RequestPipeline::run(Exchange &exchange) {
  static constexpr std::array<Step, 6> steps{
      &RequestPipeline::checkRoute,      &RequestPipeline::checkLease,
      &RequestPipeline::checkKey,        &RequestPipeline::checkRequestId,
      &RequestPipeline::checkQuarantine, &RequestPipeline::admitByRate,
  };
  for (Step step : steps)
    if (std::optional<Refusal> refusal = (this->*step)(exchange))
      return *refusal;
  return isNonIdempotent(*exchange.Route) ? runNonIdempotent(exchange) : runIdempotent(exchange);
}

void RequestPipeline::answerLookup(const httplib::Request &req, httplib::Response &res) {
  std::shared_ptr<const ServingState> state = Agent.state();
  std::string caller = req.has_param("address") ? req.get_param_value("address") : req.remote_addr;
  placement::LookupResponse answer = state->Lookups->answer(parseIpv4(caller), Clock.now());
  core::Json vms = core::Json::array();
  for (const core::VmId &id : answer.Vms)
    if (const config::VmRecord *vm = config::find(state->Records.Vms, id))
      vms.push_back({{"vm", id.Value}, {"address", vm->TrafficAddress}});
  core::Json body = {{"vms", vms}, {"ttl_ms", answer.Ttl.Ms}, {"version", state->Version.Value}};
  res.set_header("Cache-Control", absl::StrCat("max-age=", answer.Ttl.Ms / 1000));
  res.set_content(body.dump(), "application/json");
}

} // namespace briarspar::daemon
