#include "entry/ProcessingTimes.h"

#include <algorithm>

namespace briarspar::entry {

namespace {

/// Weight of one answer in the means.
constexpr double SampleWeight = 0.05;

/// One answer moves a mean by at most this factor of it, so that a slow target does not spoil it.
constexpr double MaxSampleFactor = 2;

/// Mean work and bytes until something has been measured.
constexpr double InitialMeanMs = 200;
constexpr double InitialBytes = 2000;

void learn(double &mean, double sample) {
  mean += SampleWeight * (std::min(sample, mean * MaxSampleFactor) - mean);
}

} // namespace

ProcessingTimes::ProcessingTimes(const ProcessingTimesSettings &settings) : Settings(settings) {}

const ProcessingTime &ProcessingTimes::of(const catalog::Route &route, const std::string &service) {
  ProcessingTime &time = Times[{route.Name, service}];
  if (time.UncachedMs == 0) {
    time.UncachedMs = std::min(static_cast<double>(route.LatencyGoal.Ms) * Settings.UncachedToGoal,
                               static_cast<double>(route.Timeout.Ms) * Settings.UncachedToTimeout);
    time.CachedMs = time.UncachedMs * Settings.CachedToUncached;
  }
  return time;
}

void ProcessingTimes::record(const catalog::Route &route, const std::string &service, double ms) {
  of(route, service);
  ProcessingTime &time = Times[{route.Name, service}];
  if (route.Sticky && time.isNearCached(ms))
    learn(time.CachedMs, ms);
  else
    learn(time.UncachedMs, ms);
  auto mean = Means.emplace(service, ms).first;
  learn(mean->second, ms);
}

double ProcessingTimes::mean(const std::string &service) const {
  auto it = Means.find(service);
  return it == Means.end() ? InitialMeanMs : std::max(1.0, it->second);
}

void ProcessingTimes::recordBytes(const catalog::Route &route, double bytes) {
  auto mean = Bytes.emplace(route.Name, bytes).first;
  learn(mean->second, bytes);
}

double ProcessingTimes::bytes(const catalog::Route &route) const {
  auto it = Bytes.find(route.Name);
  return it == Bytes.end() ? InitialBytes : it->second;
}

} // namespace briarspar::entry
