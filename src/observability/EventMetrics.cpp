#include "observability/EventMetrics.h"

#include <prometheus/text_serializer.h>

namespace briarspar::observability {

namespace {

/// Upper bounds of the histogram buckets in seconds. They are finest around the latency goals of
/// routes, 0.1 to 1.5 s.
const prometheus::Histogram::BucketBoundaries LatencyBuckets{0.01, 0.025, 0.05, 0.1, 0.2, 0.3, 0.4,
                                                             0.6,  0.8,   1,    1.5, 2,   4,   8};

prometheus::Histogram &addHistogram(prometheus::Registry &registry, const char *name,
                                    const char *help) {
  return prometheus::BuildHistogram().Name(name).Help(help).Register(registry).Add({},
                                                                                   LatencyBuckets);
}

std::string labelValue(const core::Json &details, const char *name) {
  auto it = details.find(name);
  if (it == details.end())
    return "";
  return it->is_string() ? it->get<std::string>() : it->dump();
}

double secondsFromMs(const core::Json &details, const char *name) {
  return static_cast<double>(details.value(name, int64_t{0})) / 1000;
}

} // namespace

EventMetrics::EventMetrics(core::EventSink &next)
    : Next(next), Events(prometheus::BuildCounter()
                             .Name("briarspar_events_total")
                             .Help("Events by name")
                             .Register(Registry)),
      Refusals(prometheus::BuildCounter()
                   .Name("briarspar_refusals_total")
                   .Help("Answers of the system's own, by status and reason")
                   .Register(Registry)),
      Answers(prometheus::BuildCounter()
                  .Name("briarspar_answers_total")
                  .Help("Requests that reached a target, by how they ended")
                  .Register(Registry)),
      Unexpected(prometheus::BuildCounter()
                     .Name("briarspar_unexpected_responses_total")
                     .Help("Responses of targets that belong to no request in progress, by kind")
                     .Register(Registry)),
      RequestSeconds(addHistogram(Registry, "briarspar_request_seconds",
                                  "Time from a request's head to its answer")),
      TargetSeconds(addHistogram(Registry, "briarspar_target_seconds",
                                 "Time from sending a request to a target to its answer")) {}

void EventMetrics::emit(core::Event event) {
  prometheus::Counter *&counter = ByEvent[event.Id];
  if (counter == nullptr)
    counter = &Events.Add({{"event", std::string(core::eventName(event.Id))}});
  counter->Increment();
  if (event.Id == core::EventId::RequestRefused)
    countRefusal(event.Details);
  else if (event.Id == core::EventId::RequestFinished)
    countAnswer(event.Details);
  else if (event.Id == core::EventId::UnexpectedResponse)
    countUnexpected(event.Details);
  Next.emit(std::move(event));
}

void EventMetrics::countRefusal(const core::Json &details) {
  Refusals
      .Add({{"status", labelValue(details, "status")}, {"reason", labelValue(details, "reason")}})
      .Increment();
}

void EventMetrics::countUnexpected(const core::Json &details) {
  Unexpected.Add({{"kind", labelValue(details, "kind")}}).Increment();
}

void EventMetrics::countAnswer(const core::Json &details) {
  Answers
      .Add({{"result", labelValue(details, "result")}, {"status", labelValue(details, "status")}})
      .Increment();
  RequestSeconds.Observe(secondsFromMs(details, "after_ms"));
  TargetSeconds.Observe(secondsFromMs(details, "target_ms"));
}

std::string EventMetrics::text() const {
  return prometheus::TextSerializer().Serialize(Registry.Collect());
}

} // namespace briarspar::observability
