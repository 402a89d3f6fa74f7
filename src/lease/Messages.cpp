#include "lease/Messages.h"

#include <vector>

namespace briarspar::lease {

using core::Json;

namespace {

Json toBinary(const std::string &bytes) {
  return Json::binary(std::vector<uint8_t>(bytes.begin(), bytes.end()));
}

std::string toBytes(const Json &value) {
  const auto &bytes = value.get_binary();
  return {bytes.begin(), bytes.end()};
}

/// Reads an unsigned number. Throws for other types, which Json::get() would convert silently.
uint64_t toUnsigned(const Json &value) { return value.get_ref<const uint64_t &>(); }

core::Duration toDuration(const Json &value) {
  constexpr uint64_t maxMs = 24ULL * 3600 * 1000;
  uint64_t n = toUnsigned(value);
  if (n > maxMs)
    throw Json::out_of_range::create(406, "duration exceeds 24 h", &value);
  return core::Duration::milliseconds(static_cast<int64_t>(n));
}

RenewalResult toResult(const Json &value) {
  uint64_t n = toUnsigned(value);
  if (n > static_cast<uint64_t>(RenewalResult::Stale))
    throw Json::out_of_range::create(406, "unknown renewal result", &value);
  return static_cast<RenewalResult>(n);
}

} // namespace

static void from_json(const Json &j, Renewal &renewal) {
  j.at(0).get_to(renewal.Vm);
  renewal.Inc = core::Incarnation(toUnsigned(j.at(1)));
  renewal.Sequence = toUnsigned(j.at(2));
  renewal.LastAnswered = toUnsigned(j.at(3));
  renewal.Applied = core::ConfigVersion(toUnsigned(j.at(4)));
  renewal.Digest = toUnsigned(j.at(5));
  j.at(6).get_to(renewal.Draining);
  j.at(7).get_to(renewal.NeedsFullState);
  renewal.Attachment = toBytes(j.at(8));
}

static void from_json(const Json &j, RenewalResponse &answer) {
  j.at(0).get_to(answer.Vm);
  answer.Inc = core::Incarnation(toUnsigned(j.at(1)));
  answer.Sequence = toUnsigned(j.at(2));
  answer.Result = toResult(j.at(3));
  answer.Length = toDuration(j.at(4));
  answer.RetryAfter = toDuration(j.at(5));
  answer.Version = core::ConfigVersion(toUnsigned(j.at(6)));
  answer.Digest = toUnsigned(j.at(7));
  answer.Update = toBytes(j.at(8));
  answer.Attachment = toBytes(j.at(9));
}

std::string encode(const Renewal &renewal) {
  return core::encodeCbor(
      Json::array({renewal.Vm.Value, renewal.Inc.Value, renewal.Sequence, renewal.LastAnswered,
                   renewal.Applied.Value, renewal.Digest, renewal.Draining, renewal.NeedsFullState,
                   toBinary(renewal.Attachment)}));
}

std::string encode(const RenewalResponse &answer) {
  return core::encodeCbor(Json::array(
      {answer.Vm.Value, answer.Inc.Value, answer.Sequence, static_cast<uint64_t>(answer.Result),
       static_cast<uint64_t>(answer.Length.Ms), static_cast<uint64_t>(answer.RetryAfter.Ms),
       answer.Version.Value, answer.Digest, toBinary(answer.Update), toBinary(answer.Attachment)}));
}

absl::StatusOr<Renewal> decodeRenewal(std::string_view bytes, const core::CodecLimits &limits) {
  return core::decodeCborAs<Renewal>(bytes, limits);
}

absl::StatusOr<RenewalResponse> decodeRenewalResponse(std::string_view bytes,
                                                      const core::CodecLimits &limits) {
  return core::decodeCborAs<RenewalResponse>(bytes, limits);
}

} // namespace briarspar::lease
