#pragma once

#include <cstdint>
#include <functional>
#include <ostream>
#include <string>
#include <utility>

namespace briarspar::core {

/// A strongly typed string identifier. Identifiers with different tags do not convert to each
/// other.
template <class Tag> struct StringId {
  std::string Value;

  StringId() = default;
  explicit StringId(std::string value) : Value(std::move(value)) {}

  bool empty() const { return Value.empty(); }

  friend bool operator==(const StringId &a, const StringId &b) { return a.Value == b.Value; }
  friend bool operator!=(const StringId &a, const StringId &b) { return a.Value != b.Value; }
  friend bool operator<(const StringId &a, const StringId &b) { return a.Value < b.Value; }
  friend std::ostream &operator<<(std::ostream &os, const StringId &id) { return os << id.Value; }
};

/// A strongly typed 64-bit number. Numbers with different tags do not convert to each other.
template <class Tag> struct NumberId {
  uint64_t Value = 0;

  constexpr NumberId() = default;
  constexpr explicit NumberId(uint64_t value) : Value(value) {}

  constexpr NumberId next() const { return NumberId(Value + 1); }

  friend constexpr bool operator==(NumberId a, NumberId b) { return a.Value == b.Value; }
  friend constexpr bool operator!=(NumberId a, NumberId b) { return a.Value != b.Value; }
  friend constexpr bool operator<(NumberId a, NumberId b) { return a.Value < b.Value; }
  friend constexpr bool operator<=(NumberId a, NumberId b) { return a.Value <= b.Value; }
  friend constexpr bool operator>(NumberId a, NumberId b) { return a.Value > b.Value; }
  friend constexpr bool operator>=(NumberId a, NumberId b) { return a.Value >= b.Value; }
  friend std::ostream &operator<<(std::ostream &os, NumberId id) { return os << id.Value; }
};

using VmId = StringId<struct VmTag>;
using CustomerId = StringId<struct CustomerTag>;
using KeyId = StringId<struct KeyTag>;
using TargetId = StringId<struct TargetTag>;
using RouteId = StringId<struct RouteTag>;
using RegionId = StringId<struct RegionTag>;
using DomainId = StringId<struct DomainTag>;
using VersionId = StringId<struct VersionTag>;
using MoveId = StringId<struct MoveTag>;

/// Distinguishes successive runs of the process on a VM. A later run has a larger value.
using Incarnation = NumberId<struct IncarnationTag>;
using Term = NumberId<struct TermTag>;
using LogIndex = NumberId<struct LogIndexTag>;
using ConfigVersion = NumberId<struct ConfigVersionTag>;

} // namespace briarspar::core

template <class Tag> struct std::hash<briarspar::core::StringId<Tag>> {
  size_t operator()(const briarspar::core::StringId<Tag> &id) const {
    return std::hash<std::string>()(id.Value);
  }
};

template <class Tag> struct std::hash<briarspar::core::NumberId<Tag>> {
  size_t operator()(briarspar::core::NumberId<Tag> id) const {
    return std::hash<uint64_t>()(id.Value);
  }
};
