#pragma once

#include "core/Clock.h"
#include "quota/Messages.h"

#include <cstdint>
#include <optional>

namespace briarspar::quota {

/// Micro-tokens per token. A rate of one thousandth of a request per second adds exactly one
/// micro-token per millisecond, so that refilling never rounds.
constexpr int64_t MicroTokens = 1'000'000;

/// A token bucket in exact integer arithmetic. Deductions may be backdated, but not before the last
/// one.
class TokenBucket {
public:
  /// Starts empty at `at`.
  TokenBucket(Rate rate, Burst burst, core::Time at) : Limit(rate), Depth(burst), At(at) {}

  /// Returns the content at `now` in micro-tokens. Negative if more was deducted than the bucket
  /// held.
  int64_t levelAt(core::Time now) const;

  /// Deducts whole tokens as of `at`. A time before the last change is moved up to it, which gives
  /// the same or a lower level.
  void deduct(int64_t tokens, core::Time at) { deductMicro(tokens * MicroTokens, at); }

  /// Deducts micro-tokens as of `at`.
  void deductMicro(int64_t amount, core::Time at);

  /// Adds whole tokens, up to the depth.
  void add(int64_t tokens, core::Time now);

  /// Changes rate and depth at `now`. The content is kept, up to the new depth.
  void setLimit(Rate rate, Burst burst, core::Time now);

  /// Returns the first time at or after `now` at which the content reaches `level`; nullopt if it
  /// never does.
  std::optional<core::Time> timeOfLevel(int64_t level, core::Time now) const;

  Rate rate() const { return Limit; }
  Burst burst() const { return Depth; }

private:
  int64_t depth() const { return Depth.Requests * MicroTokens; }

  Rate Limit;
  Burst Depth;
  int64_t Level = 0; ///< Micro-tokens at At.
  core::Time At;
};

} // namespace briarspar::quota
