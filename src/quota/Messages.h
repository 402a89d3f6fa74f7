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

/// The use of one earlier grant. Reports are cumulative, so duplicates are harmless.
struct GrantReport {
  core::Term Epoch;       ///< Of the grant; 0: no response arrived, and a late one will be ignored.
  uint64_t Sequence = 0;  ///< Of the request that was answered by the grant.
  int64_t Used = 0;       ///< Requests admitted so far.
  core::Duration LastUse; ///< Age of the last use at the time of sending.
  bool Closed = false;    ///< No more requests will be admitted; the remaining tokens are returned.
};

/// Tells the owner which reserve a VM holds and requests the next one, or returns the reserve.
struct ReserveReport {
  core::Term Epoch;           ///< Of the owner that issued the reserve.
  uint64_t Sequence = 0;      ///< Of the request that was answered by it; 0: no reserve.
  int64_t Demand = 0;         ///< Smoothed arrival rate in thousandths of a request per second.
  core::Term ReturnTo;        ///< Not 0: the reserve is returned to the owner of this term only.
  int64_t MilliPerSecond = 0; ///< Of a returned reserve.
  int64_t Depth = 0;          ///< Of a returned reserve.
  int64_t Tokens = 0;         ///< Unused tokens of a returned reserve.
};

/// Demand and reports of one VM for one customer.
struct CustomerDemand {
  core::CustomerId Customer;
  int64_t Wanted = 0; ///< Tokens for waiting requests and those expected before the response.
  std::vector<GrantReport> Reports;
  std::optional<ReserveReport> Reserve = {};
};

/// Request of a VM to the owner of a group of customers.
struct GrantRequest {
  core::VmId Vm;
  core::Incarnation Inc;
  uint32_t Group = 0;    ///< Group of customers.
  uint64_t Sequence = 0; ///< Increases with each request of an incarnation and group.
  std::vector<CustomerDemand> Customers;
};

enum class GrantResult : uint8_t {
  Ok = 0,
  NotOwner = 1, ///< This replica does not own the group; try another one.
  Stale = 2,    ///< Duplicated or reordered request, or an old incarnation.
};

/// Part of a customer's rate that a VM may use on its own while it is out of contact with the
/// owner. Replaces the VM's earlier reserves for the customer.
struct Reserve {
  int64_t MilliPerSecond = 0; ///< 0: no reserve.
  int64_t Depth = 0;          ///< Maximum content in whole tokens.
  int64_t InitialTokens = 0;  ///< Whole tokens at its start.
};

/// Prepaid tokens of one customer.
struct CustomerGrant {
  core::CustomerId Customer;
  bool Known = true;      ///< False: the owner has no limit for this customer.
  bool Scarce = false;    ///< Report uses quickly and return unneeded tokens.
  int64_t Tokens = 0;     ///< Requests that may be admitted.
  core::Duration Delay;   ///< Usable this long after receipt of the response.
  core::Duration Length;  ///< Expires this long after the request was sent.
  core::Duration RetryIn; ///< If Tokens is 0: time until a token is expected.
  std::optional<Reserve> NextReserve = {};
};

struct GrantResponse {
  core::VmId Vm;
  core::Incarnation Inc;
  uint32_t Group = 0;
  core::Term Epoch;      ///< Term of the owner.
  uint64_t Sequence = 0; ///< Sequence of the request that is answered.
  GrantResult Result = GrantResult::NotOwner;
  core::Duration ReserveDelay;  ///< Reserves start this long after receipt of the response.
  core::Duration ReserveLength; ///< Reserves end this long after the request was sent.
  std::vector<CustomerGrant> Customers;
};

/// Encodes a message as CBOR: arrays of the members in the order of declaration.
std::string encode(const GrantRequest &request);
std::string encode(const GrantResponse &answer);

/// Decode a message. Return InvalidArgument for a malformed one and ResourceExhausted beyond the
/// limits.
absl::StatusOr<GrantRequest> decodeGrantRequest(std::string_view bytes,
                                                const core::CodecLimits &limits = {});
absl::StatusOr<GrantResponse> decodeGrantResponse(std::string_view bytes,
                                                  const core::CodecLimits &limits = {});

} // namespace briarspar::quota
