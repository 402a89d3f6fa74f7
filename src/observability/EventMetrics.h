#pragma once

#include "core/Event.h"

#include <prometheus/counter.h>
#include <prometheus/family.h>
#include <prometheus/histogram.h>
#include <prometheus/registry.h>

#include <map>
#include <string>

namespace briarspar::observability {

/// An event sink that derives metrics from events and passes the events on to another sink:
///
///   briarspar_events_total{event}             events by name
///   briarspar_refusals_total{status,reason}   responses produced by the system itself
///   briarspar_answers_total{result,status}    requests that were sent to a target, by result
///   briarspar_unexpected_responses_total{kind}
///                                             target responses that belong to no request
///   briarspar_request_seconds                 time from the head of a request to its response
///   briarspar_target_seconds                  time from sending to a target to its response
///
/// Must be used on one thread.
class EventMetrics final : public core::EventSink {
public:
  explicit EventMetrics(core::EventSink &next);

  void emit(core::Event event) override;

  /// Returns all metrics in the Prometheus text exposition format.
  std::string text() const;

private:
  using Counters = prometheus::Family<prometheus::Counter>;

  void countRefusal(const core::Json &details);
  void countUnexpected(const core::Json &details);
  void countAnswer(const core::Json &details);

  core::EventSink &Next;
  prometheus::Registry Registry;
  Counters &Events;
  Counters &Refusals;
  Counters &Answers;
  Counters &Unexpected;
  prometheus::Histogram &RequestSeconds;
  prometheus::Histogram &TargetSeconds;
  std::map<core::EventId, prometheus::Counter *> ByEvent;
};

} // namespace briarspar::observability
