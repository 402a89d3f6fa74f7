#pragma once

#include "core/Event.h"

#include <prometheus/counter.h>
#include <prometheus/family.h>
#include <prometheus/histogram.h>
#include <prometheus/registry.h>

#include <map>
#include <string>

namespace briarspar::observability {

/// Counts the events that it passes on, and measures requests, for the metrics address:
///
///   briarspar_events_total{event}                events by name
///   briarspar_refusals_total{status,reason}      answers of the system's own
///   briarspar_answers_total{result,status}       requests that a target has answered, or that
///   ended briarspar_request_seconds                    time from a request's head to its answer
///   briarspar_target_seconds                     time from sending it to a target to its answer
///
/// Used on one thread.
class EventMetrics final : public core::EventSink {
public:
  explicit EventMetrics(core::EventSink &next);

  void emit(core::Event event) override;

  /// Returns all metrics in the Prometheus text format.
  std::string text() const;

private:
  using Counters = prometheus::Family<prometheus::Counter>;

  void countRefusal(const core::Json &details);
  void countAnswer(const core::Json &details);

  core::EventSink &Next;
  prometheus::Registry Registry;
  Counters &Events;
  Counters &Refusals;
  Counters &Answers;
  prometheus::Histogram &RequestSeconds;
  prometheus::Histogram &TargetSeconds;
  std::map<core::EventId, prometheus::Counter *> ByEvent;
};

} // namespace briarspar::observability
