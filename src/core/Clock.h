#pragma once

#include <cstdint>

namespace briarspar::core {

/// A signed span of time in milliseconds.
struct Duration {
  int64_t Ms = 0;

  static constexpr Duration milliseconds(int64_t n) { return {n}; }
  static constexpr Duration seconds(int64_t n) { return {n * 1000}; }
};

/// A point in time in milliseconds since an arbitrary epoch of the clock that produced it. Times of
/// different processes are not comparable.
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

/// The largest difference in rate assumed between the clocks of two VMs, in parts per thousand.
constexpr int64_t MaxClockDriftPermille = 10;

/// Shortens a span measured by a remote clock so that it has ended here before it ends there.
constexpr Duration shortenForClockDrift(Duration d) {
  return {d.Ms - (d.Ms * MaxClockDriftPermille + 999) / 1000};
}

/// Lengthens a span measured by a remote clock so that it has ended there before it ends here.
constexpr Duration lengthenForClockDrift(Duration d) {
  return {d.Ms + (d.Ms * MaxClockDriftPermille + 999) / 1000};
}

/// Source of the current time. Implementations are safe to call from any thread.
class Clock {
public:
  virtual ~Clock() = default;
  virtual Time now() const = 0;
};

/// Monotonic time of this host. It includes the time during which the process was stopped, so that
/// a lease runs out while its holder is paused.
class SteadyClock final : public Clock {
public:
  Time now() const override;
};

/// A clock that moves only when it is told to. For tests and for measurements on injected time.
class ManualClock final : public Clock {
public:
  Time now() const override { return Current; }
  void advance(Duration d) { Current = Current + d; }
  void set(Time t) { Current = t; }

private:
  Time Current;
};

} // namespace briarspar::core
