#include "idempotency/ClaimMessages.h"

#include "absl/status/status.h"

#include <cstddef>
#include <utility>

namespace briarspar::idempotency {

using core::Json;

namespace {

/// A claim message holds at most one stored answer and a few short strings.
constexpr core::CodecLimits MessageLimits{size_t{1024} * 1024, 8};

Json binary(const std::string &bytes) { return Json::binary({bytes.begin(), bytes.end()}); }

std::string bytesOf(const Json &j) {
  const Json::binary_t &bytes = j.get_binary();
  return {bytes.begin(), bytes.end()};
}

/// Reads an enumerator and refuses values after `last`.
template <class Enum> Enum enumOf(const Json &j, Enum last) {
  auto n = j.get<uint64_t>();
  if (n > static_cast<uint64_t>(last))
    throw Json::other_error::create(501, "enumerator out of range", nullptr);
  return static_cast<Enum>(n);
}

Json head(const char *kind, const RequestKey &key, const AttemptId &attempt) {
  return {{"kind", kind}, {"key", key}, {"attempt", attempt}};
}

struct CommandEncoder {
  Json operator()(const Claim &c) const {
    Json j = head("claim", c.Key, c.Attempt);
    j["body"] = c.BodyFingerprint;
    j["deadline"] = c.Deadline.Ms;
    return j;
  }
  Json operator()(const Completion &c) const {
    Json j = head("complete", c.Key, c.Attempt);
    j["result"] = static_cast<uint8_t>(c.Result);
    if (c.AnswerKept)
      j["answer"] = binary(c.Answer);
    return j;
  }
  Json operator()(const Release &r) const { return head("release", r.Key, r.Attempt); }
  Json operator()(const VmDead &d) const {
    return {{"kind", "vm-dead"}, {"vm", d.Vm}, {"run", d.Run}};
  }
  Json operator()(const AdvanceTime &) const { return {{"kind", "advance"}}; }
};

struct ResultEncoder {
  Json operator()(std::monostate) const { return {{"kind", "none"}}; }
  Json operator()(const ClaimResponse &a) const {
    Json j = head("claim", a.Key, a.Attempt);
    j["outcome"] = static_cast<uint8_t>(a.Outcome.Status);
    j["answer"] = binary(a.Outcome.Answer);
    return j;
  }
  Json operator()(const CompletionAck &a) const {
    return {{"kind", "complete"}, {"attempt", a.Attempt}};
  }
  Json operator()(const ReleaseAck &a) const {
    return {{"kind", "release"}, {"attempt", a.Attempt}};
  }
};

Claim claimOf(const Json &j) {
  Claim c;
  j.at("key").get_to(c.Key);
  j.at("attempt").get_to(c.Attempt);
  j.at("body").get_to(c.BodyFingerprint);
  j.at("deadline").get_to(c.Deadline.Ms);
  return c;
}

Completion completionOf(const Json &j) {
  Completion c;
  j.at("key").get_to(c.Key);
  j.at("attempt").get_to(c.Attempt);
  c.Result = enumOf(j.at("result"), RunResult::Unknown);
  c.AnswerKept = j.contains("answer");
  if (c.AnswerKept)
    c.Answer = bytesOf(j.at("answer"));
  return c;
}

ClaimCommand commandFrom(const Json &j) {
  const auto kind = j.at("kind").get<std::string>();
  if (kind == "claim")
    return claimOf(j);
  if (kind == "complete")
    return completionOf(j);
  if (kind == "release")
    return Release{j.at("key").get<RequestKey>(), j.at("attempt").get<AttemptId>()};
  if (kind == "vm-dead")
    return VmDead{j.at("vm").get<core::VmId>(), j.at("run").get<core::Incarnation>()};
  if (kind == "advance")
    return AdvanceTime{};
  throw Json::other_error::create(501, "unknown kind of claim command", nullptr);
}

ClaimResult resultFrom(const Json &j) {
  const auto kind = j.at("kind").get<std::string>();
  if (kind == "none")
    return std::monostate{};
  if (kind == "claim")
    return ClaimResponse{
        j.at("key").get<RequestKey>(), j.at("attempt").get<AttemptId>(),
        ClaimOutcome{enumOf(j.at("outcome"), ClaimOutcome::Released), bytesOf(j.at("answer"))}};
  if (kind == "complete")
    return CompletionAck{j.at("attempt").get<AttemptId>()};
  if (kind == "release")
    return ReleaseAck{j.at("attempt").get<AttemptId>()};
  throw Json::other_error::create(501, "unknown kind of claim result", nullptr);
}

template <class T> absl::StatusOr<T> decodeWith(std::string_view bytes, T (*read)(const Json &)) {
  absl::StatusOr<Json> j = core::decodeCbor(bytes, MessageLimits);
  if (!j.ok())
    return j.status();
  try {
    return read(*j);
  } catch (const Json::exception &e) {
    return absl::InvalidArgumentError(e.what());
  }
}

} // namespace

void to_json(Json &j, const RequestKey &key) { j = {key.Customer, key.Route, key.RequestId}; }

void from_json(const Json &j, RequestKey &key) {
  j.at(0).get_to(key.Customer);
  j.at(1).get_to(key.Route);
  j.at(2).get_to(key.RequestId);
}

void to_json(Json &j, const AttemptId &attempt) { j = {attempt.Vm, attempt.Run, attempt.Number}; }

void from_json(const Json &j, AttemptId &attempt) {
  j.at(0).get_to(attempt.Vm);
  j.at(1).get_to(attempt.Run);
  j.at(2).get_to(attempt.Number);
}

std::string encode(const ClaimCommand &command) {
  return core::encodeCbor(std::visit(CommandEncoder{}, command));
}

std::string encode(const ClaimResult &result) {
  return core::encodeCbor(std::visit(ResultEncoder{}, result));
}

absl::StatusOr<ClaimCommand> decodeClaimCommand(std::string_view bytes) {
  return decodeWith<ClaimCommand>(bytes, &commandFrom);
}

absl::StatusOr<ClaimResult> decodeClaimResult(std::string_view bytes) {
  return decodeWith<ClaimResult>(bytes, &resultFrom);
}

} // namespace briarspar::idempotency
