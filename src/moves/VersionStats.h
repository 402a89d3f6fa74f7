#pragma once

#include "core/Codec.h"
#include "core/Ids.h"

#include <array>
#include <cstddef>
#include <cstdint>

namespace briarspar::moves {

/// Latency buckets double: bucket n counts latencies below 2^n ms that earlier buckets do not; the
/// last bucket counts all longer ones.
constexpr size_t LatencyBuckets = 16;

/// Returns the bucket of a latency in milliseconds.
size_t latencyBucket(int64_t ms);

/// Counts of the requests that ended in one interval.
struct RequestCounts {
  uint32_t Requests = 0;    ///< All requests, crash errors included.
  uint32_t Errors = 0;      ///< Failed requests, crash errors included.
  uint32_t CrashErrors = 0; ///< Errors of requests that crash protection holds responsible.
  std::array<uint32_t, LatencyBuckets> Latency{}; ///< Requests that did not fail.

  void merge(const RequestCounts &other);
};

/// What one VM saw of one version on one route in one interval. About 100 bytes. A VM reports both
/// versions of a moving route for every interval, with zero counts too: only intervals with both
/// reports are compared.
struct VersionStats {
  core::VmId Source;
  core::Incarnation SourceIncarnation;
  uint64_t Interval = 0; ///< Increases by one per interval within an incarnation of the source.
  core::RouteId Route;
  core::VersionId Version;
  RequestCounts Counts;
};

void to_json(core::Json &j, const VersionStats &stats);
void from_json(const core::Json &j, VersionStats &stats);

} // namespace briarspar::moves
