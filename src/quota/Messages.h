#pragma once

#include "absl/status/statusor.h"
#include "core/Clock.h"
#include "core/Codec.h"
#include "core/Ids.h"

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace briarspar::quota {

/// A customer's rate in thousandths of a request per second.
struct Rate {
  int64_t MilliPerSecond = 0;

  static constexpr Rate perSecond(int64_t n) { return {n * 1000}; }
};

/// A customer's burst in whole requests.
struct Burst {
  int64_t Requests = 0;
};

/// What became of one earlier grant. Reports are cumulative, so that duplicates are harmless.
struct GrantReport {
  core::Term Epoch;       ///< Of the grant; 0: the answer is ignored from now on if it arrives.
  uint64_t Sequence = 0;  ///< Of the request that the grant answered.
  int64_t Used = 0;       ///< Requests admitted with it so far.
  core::Duration LastUse; ///< Age of the last use when the report was sent.
  bool Closed = false;    ///< Nothing more will be admitted with it; the rest is returned.
};

/// Tells the owner which reserve a VM holds and asks for the next one, or returns it.
struct ReserveReport {
  core::Term Epoch;      ///< Of the owner that issued the reserve.
  uint64_t Sequence = 0; ///< Of the request that it answered; 0: none is held.
  int64_t Demand = 0;    ///< Smoothed arrivals, in thousandths of a request per second.
  core::Term ReturnTo;   ///< Not 0: the VM has given the reserve up to the owner of this term only.
  int64_t MilliPerSecond = 0; ///< Of a reserve that is returned.
  int64_t Depth = 0;          ///< The same.
  int64_t Tokens = 0;         ///< Unused ones of a reserve that is returned.
};

/// Demand and reports of one VM for one customer.
struct CustomerDemand {
  core::CustomerId Customer;
  int64_t Wanted = 0; ///< Requests that wait or are expected until the answer arrives.
  std::vector<GrantReport> Reports;
  std::optional<ReserveReport> Reserve = {};
};

/// Sent by a VM to the owner of a group of customers.
struct GrantRequest {
  core::VmId Vm;
  core::Incarnation Inc;
  uint32_t Group = 0;    ///< Group of customers that the message is for.
  uint64_t Sequence = 0; ///< Increases with every request of one incarnation and group.
  std::vector<CustomerDemand> Customers;
};

enum class GrantResult : uint8_t {
  Ok = 0,
  NotOwner = 1, ///< This replica does not own the group; ask another one.
  Stale = 2,    ///< Duplicated or reordered request, or a fenced incarnation.
};

/// Part of a customer's rate that a VM may use by itself while it hears from no owner. It replaces
/// the VM's earlier reserves for the customer.
struct Reserve {
  int64_t MilliPerSecond = 0; ///< 0: nothing may be used.
  int64_t Depth = 0;          ///< Whole tokens that may accumulate.
  int64_t InitialTokens = 0;  ///< Whole tokens that it starts with.
};

/// Prepaid requests of one customer.
struct CustomerGrant {
  core::CustomerId Customer;
  bool Known = true;      ///< False: the owner has no limit for the customer.
  bool Scarce = false;    ///< Report uses quickly and return what is not needed.
  int64_t Tokens = 0;     ///< Requests that may be admitted.
  core::Duration Delay;   ///< Usable only this long after the answer was received.
  core::Duration Length;  ///< Expires this long after the request was sent.
  core::Duration RetryIn; ///< With Tokens 0: when a token is expected.
  std::optional<Reserve> NextReserve = {};
};

struct GrantAnswer {
  core::VmId Vm;
  core::Incarnation Inc;
  uint32_t Group = 0;
  core::Term Epoch;      ///< Term of the owner.
  uint64_t Sequence = 0; ///< Sequence of the request that is answered.
  GrantResult Result = GrantResult::NotOwner;
  core::Duration ReserveDelay;  ///< Reserves are usable and accrue this long after the receipt.
  core::Duration ReserveLength; ///< Reserves end this long after the request was sent.
  std::vector<CustomerGrant> Customers;
};

/// CBOR form of the messages: arrays of members in the order of the structures.
std::string encode(const GrantRequest &request);
std::string encode(const GrantAnswer &answer);

/// Decoding returns InvalidArgument for a malformed message and ResourceExhausted beyond the
/// limits.
absl::StatusOr<GrantRequest> decodeGrantRequest(std::string_view bytes,
                                                const core::CodecLimits &limits = {});
absl::StatusOr<GrantAnswer> decodeGrantAnswer(std::string_view bytes,
                                              const core::CodecLimits &limits = {});

} // namespace briarspar::quota
