#pragma once

#include <cstdint>

namespace briarspar::core {

/// A signed duration in milliseconds.
struct Duration {
  int64_t Ms = 0;

  static constexpr Duration milliseconds(int64_t n) { return {n}; }
  static constexpr Duration seconds(int64_t n) { return {n * 1000}; }
};

/// A point in time, in milliseconds since an arbitrary epoch of the clock that produced it. Times
/// from different processes must not be compared.
struct Time {
  int64_t Ms = 0;
};

constexpr Duration operator+(Duration a, Duration b) { return {a.Ms + b.Ms}; }
constexpr Duration operator-(Duration a, Duration b) { return {a.Ms - b.Ms}; }
constexpr Duration operator*(Duration a, int64_t n) { return {a.Ms * n}; }
constexpr Duration operator/(Duration a, int64_t n) { return {a.Ms / n}; }
constexpr Time operator+(Time t, Duration d) { return {t.Ms + d.Ms}; }
constexpr Time operator-(Time t, Duration d) { return {t.Ms - d.Ms}; }
constexpr Duration operator-(Time a, Time b) { return {a.Ms - b.Ms}; }

constexpr bool operator==(Duration a, Duration b) { return a.Ms == b.Ms; }
constexpr bool operator!=(Duration a, Duration b) { return a.Ms != b.Ms; }
constexpr bool operator<(Duration a, Duration b) { return a.Ms < b.Ms; }
constexpr bool operator<=(Duration a, Duration b) { return a.Ms <= b.Ms; }
constexpr bool operator>(Duration a, Duration b) { return a.Ms > b.Ms; }
constexpr bool operator>=(Duration a, Duration b) { return a.Ms >= b.Ms; }
constexpr bool operator==(Time a, Time b) { return a.Ms == b.Ms; }
constexpr bool operator!=(Time a, Time b) { return a.Ms != b.Ms; }
constexpr bool operator<(Time a, Time b) { return a.Ms < b.Ms; }
constexpr bool operator<=(Time a, Time b) { return a.Ms <= b.Ms; }
constexpr bool operator>(Time a, Time b) { return a.Ms > b.Ms; }
constexpr bool operator>=(Time a, Time b) { return a.Ms >= b.Ms; }

/// Upper bound assumed for the drift between the clocks of two VMs, in parts per thousand.
constexpr int64_t MaxClockDriftPermille = 10;

/// Shortens a duration granted by a remote VM, so that it ends on the local clock no later than on
/// the remote one.
constexpr Duration shortenForClockDrift(Duration d) {
  return {d.Ms - (d.Ms * MaxClockDriftPermille + 999) / 1000};
}

/// Lengthens a duration granted to a remote VM, so that it ends on the remote clock no later than
/// on the local one.
constexpr Duration lengthenForClockDrift(Duration d) {
  return {d.Ms + (d.Ms * MaxClockDriftPermille + 999) / 1000};
}

/// Source of the current time. Implementations are thread-safe.
class Clock {
public:
  virtual ~Clock() = default;
  virtual Time now() const = 0;
};

/// Monotonic clock of this host. It keeps advancing while the process is stopped or the host is
/// suspended, so that a lease expires while its holder is paused.
class SteadyClock final : public Clock {
public:
  Time now() const override;
};

/// A clock that advances only on request, for tests and simulations.
class ManualClock final : public Clock {
public:
  Time now() const override { return Current; }
  void advance(Duration d) { Current = Current + d; }
  void set(Time t) { Current = t; }

private:
  Time Current;
};

} // namespace briarspar::core
