#include "moves/VersionStats.h"

#include <algorithm>

namespace briarspar::moves {

size_t latencyBucket(int64_t ms) {
  size_t n = 0;
  while (n + 1 < LatencyBuckets && ms >= int64_t{1} << n)
    ++n;
  return n;
}

void RequestCounts::merge(const RequestCounts &other) {
  Requests += other.Requests;
  Errors += other.Errors;
  CrashErrors += other.CrashErrors;
  std::transform(Latency.begin(), Latency.end(), other.Latency.begin(), Latency.begin(),
                 [](uint32_t a, uint32_t b) { return a + b; });
}

void to_json(core::Json &j, const VersionStats &s) {
  j = {{"src", s.Source},        {"inc", s.SourceIncarnation},
       {"i", s.Interval},        {"route", s.Route},
       {"ver", s.Version},       {"n", s.Counts.Requests},
       {"err", s.Counts.Errors}, {"crash", s.Counts.CrashErrors},
       {"lat", s.Counts.Latency}};
}

void from_json(const core::Json &j, VersionStats &s) {
  j.at("src").get_to(s.Source);
  j.at("inc").get_to(s.SourceIncarnation);
  j.at("i").get_to(s.Interval);
  j.at("route").get_to(s.Route);
  j.at("ver").get_to(s.Version);
  j.at("n").get_to(s.Counts.Requests);
  j.at("err").get_to(s.Counts.Errors);
  j.at("crash").get_to(s.Counts.CrashErrors);
  j.at("lat").get_to(s.Counts.Latency);
}

} // namespace briarspar::moves
