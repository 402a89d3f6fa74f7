#include "entry/WorkTimes.h"

#include <algorithm>

namespace briarspar::entry {

namespace {

/// Weight of one answer in the means.
constexpr double SampleWeight = 0.05;

/// One answer moves a mean by at most this factor of it, so that a slow target does not spoil it.
constexpr double MostSample = 2;

/// Mean work and bytes until something has been measured.
constexpr double GuessedMeanMs = 200;
constexpr double GuessedBytes = 2000;

void learn(double &mean, double sample) {
  mean += SampleWeight * (std::min(sample, mean * MostSample) - mean);
}

} // namespace

WorkTimes::WorkTimes(const WorkTimesSettings &settings) : Settings(settings) {}

const WorkTime &WorkTimes::of(const catalog::Route &route, const std::string &service) {
  WorkTime &time = Times[{route.Name, service}];
  if (time.Cold == 0) {
    time.Cold = std::min(static_cast<double>(route.LatencyGoal.Ms) * Settings.ColdToGoal,
                         static_cast<double>(route.Timeout.Ms) * Settings.ColdToTimeout);
    time.Warm = time.Cold * Settings.WarmToCold;
  }
  return time;
}

void WorkTimes::record(const catalog::Route &route, const std::string &service, double ms) {
  of(route, service);
  WorkTime &time = Times[{route.Name, service}];
  if (route.Sticky && time.isWarm(ms))
    learn(time.Warm, ms);
  else
    learn(time.Cold, ms);
  auto mean = Means.emplace(service, ms).first;
  learn(mean->second, ms);
}

double WorkTimes::mean(const std::string &service) const {
  auto it = Means.find(service);
  return it == Means.end() ? GuessedMeanMs : std::max(1.0, it->second);
}

void WorkTimes::recordBytes(const catalog::Route &route, double bytes) {
  auto mean = Bytes.emplace(route.Name, bytes).first;
  learn(mean->second, bytes);
}

double WorkTimes::bytes(const catalog::Route &route) const {
  auto it = Bytes.find(route.Name);
  return it == Bytes.end() ? GuessedBytes : it->second;
}

} // namespace briarspar::entry
