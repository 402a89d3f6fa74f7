#pragma once

#include "core/Codec.h"
#include "core/Ids.h"

#include <array>
#include <cstddef>
#include <cstdint>

namespace briarspar::moves {

/// Number of latency buckets. Bucket widths double: bucket n counts the latencies below 2^n ms that
/// no lower bucket counts; the last bucket also counts all higher ones.
constexpr size_t LatencyBuckets = 16;

/// Maps a latency in milliseconds to its bucket.
size_t latencyBucket(int64_t ms);

/// Counts of the requests that ended in one interval.
struct RequestCounts {
  uint32_t Requests = 0;    ///< All requests, crash errors included.
  uint32_t Errors = 0;      ///< Failed requests, crash errors included.
  uint32_t CrashErrors = 0; ///< Errors that crash protection attributes to the request.
  std::array<uint32_t, LatencyBuckets> Latency{}; ///< Successful requests by bucket.

  void merge(const RequestCounts &other);
};

/// Request statistics of one VM for one version, route and interval; about 100 bytes. During a
/// version move a VM reports both versions for every interval, also if the counts are zero, because
/// only intervals with both reports are compared.
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
