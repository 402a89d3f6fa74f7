#pragma once

#include "absl/status/status.h"
#include "config/Command.h"
#include "config/Records.h"
#include "config/Text.h"
#include "core/Codec.h"

#include <algorithm>
#include <limits>
#include <string>
#include <tuple>
#include <type_traits>
#include <utility>
#include <vector>

namespace briarspar::config {

/// A member of a struct and its encoded name.
template <class T, class M> struct Field {
  const char *Name;
  M T::*Member;
};
template <class T, class M> constexpr Field<T, M> field(const char *name, M T::*member) {
  return {name, member};
}

/// A string member that holds arbitrary bytes.
template <class T> struct BytesField {
  const char *Name;
  std::string T::*Member;
};
template <class T> constexpr BytesField<T> bytesField(const char *name, std::string T::*member) {
  return {name, member};
}

/// `Fields<T>::Table` lists the encoded members of T.
template <class T> struct Fields;

template <> struct Fields<Stamp> {
  static constexpr auto Table =
      std::make_tuple(field("version", &Stamp::Version), field("command", &Stamp::Command));
};
template <> struct Fields<CustomerRecord> {
  using R = CustomerRecord;
  static constexpr auto Table =
      std::make_tuple(field("id", &R::Id), field("rate", &R::Rate), field("burst", &R::Burst),
                      field("weight", &R::Weight), field("changed", &R::Changed));
};
template <> struct Fields<KeyRecord> {
  using R = KeyRecord;
  static constexpr auto Table =
      std::make_tuple(field("id", &R::Id), field("customer", &R::Customer),
                      field("digest", &R::Digest), field("changed", &R::Changed));
};
template <> struct Fields<RouteRecord> {
  using R = RouteRecord;
  static constexpr auto Table = std::make_tuple(
      field("id", &R::Id), field("path", &R::PathPrefix), field("access", &R::Access),
      field("semantics", &R::Semantics), field("deadline", &R::Deadline),
      field("current", &R::Current), field("changed", &R::Changed));
};
template <> struct Fields<TargetRecord> {
  using R = TargetRecord;
  static constexpr auto Table = std::make_tuple(
      field("id", &R::Id), field("route", &R::Route), field("address", &R::Address),
      field("version", &R::Version), field("slots", &R::Slots), field("region", &R::Region),
      field("domain", &R::Domain), field("state", &R::State), field("changed", &R::Changed));
};
template <> struct Fields<CapRecord> {
  using R = CapRecord;
  static constexpr auto Table =
      std::make_tuple(field("id", &R::Id), field("permille", &R::Permille),
                      field("per", &R::Period), field("changed", &R::Changed));
};
template <> struct Fields<DrainRecord> {
  using R = DrainRecord;
  static constexpr auto Table = std::make_tuple(
      field("id", &R::Id), field("kind", &R::Kind), field("name", &R::Name),
      field("by", &R::TimeLimit), field("started", &R::StartedAt), field("state", &R::State),
      field("reason", &R::Reason), field("changed", &R::Changed));
};
template <> struct Fields<ShiftRecord> {
  using R = ShiftRecord;
  static constexpr auto Table = std::make_tuple(
      field("id", &R::Id), field("from", &R::From), field("to", &R::To),
      field("permille", &R::Permille), field("by", &R::TimeLimit), field("started", &R::StartedAt),
      field("state", &R::State), field("reason", &R::Reason), field("shifted", &R::ShiftedPermille),
      bytesField("progress", &R::Progress), field("changed", &R::Changed));
};
template <> struct Fields<MoveRecord> {
  using R = MoveRecord;
  static constexpr auto Table = std::make_tuple(
      field("id", &R::Id), field("route", &R::Route), field("from", &R::From), field("to", &R::To),
      field("by", &R::TimeLimit), field("started", &R::StartedAt), field("state", &R::State),
      field("reason", &R::Reason), field("share", &R::SharePermille),
      bytesField("progress", &R::Progress), field("changed", &R::Changed));
};
template <> struct Fields<VmRecord> {
  using R = VmRecord;
  static constexpr auto Table =
      std::make_tuple(field("id", &R::Id), field("control", &R::ControlAddress),
                      field("traffic", &R::TrafficAddress), field("region", &R::Region),
                      field("domain", &R::Domain), field("changed", &R::Changed));
};

template <> struct Fields<ForcedShare> {
  using R = ForcedShare;
  static constexpr auto Table =
      std::make_tuple(field("to", &R::To), field("basis", &R::BasisPoints));
};
template <> struct Fields<RegionFailureRecord> {
  using R = RegionFailureRecord;
  static constexpr auto Table = std::make_tuple(
      field("id", &R::Id), field("down", &R::Down), field("cause", &R::Cause),
      field("load", &R::Load), field("forced", &R::ForcedShares), field("changed", &R::Changed));
};

template <> struct Fields<BlockRecord> {
  using R = BlockRecord;
  static constexpr auto Table = std::make_tuple(field("id", &R::Id), field("region", &R::Region),
                                                field("changed", &R::Changed));
};

template <> struct Fields<CreateCustomer> {
  using R = CreateCustomer;
  static constexpr const char *Name = "create-customer";
  static constexpr auto Table =
      std::make_tuple(field("id", &R::Id), field("rate", &R::Rate), field("burst", &R::Burst),
                      field("weight", &R::Weight));
};
template <> struct Fields<UpdateCustomer> {
  using R = UpdateCustomer;
  static constexpr const char *Name = "update-customer";
  static constexpr auto Table =
      std::make_tuple(field("id", &R::Id), field("rate", &R::Rate), field("burst", &R::Burst),
                      field("weight", &R::Weight));
};
template <> struct Fields<CreateKey> {
  using R = CreateKey;
  static constexpr const char *Name = "create-key";
  static constexpr auto Table =
      std::make_tuple(field("customer", &R::Customer), field("digest", &R::Digest));
};
template <> struct Fields<WithdrawKey> {
  static constexpr const char *Name = "withdraw-key";
  static constexpr auto Table = std::make_tuple(field("id", &WithdrawKey::Id));
};
template <> struct Fields<CreateRoute> {
  using R = CreateRoute;
  static constexpr const char *Name = "create-route";
  static constexpr auto Table = std::make_tuple(
      field("id", &R::Id), field("path", &R::PathPrefix), field("access", &R::Access),
      field("semantics", &R::Semantics), field("deadline", &R::Deadline));
};
template <> struct Fields<DeleteRoute> {
  static constexpr const char *Name = "delete-route";
  static constexpr auto Table = std::make_tuple(field("id", &DeleteRoute::Id));
};
template <> struct Fields<AddTarget> {
  using R = AddTarget;
  static constexpr const char *Name = "add-target";
  static constexpr auto Table =
      std::make_tuple(field("id", &R::Id), field("route", &R::Route), field("address", &R::Address),
                      field("version", &R::Version), field("slots", &R::Slots),
                      field("region", &R::Region), field("domain", &R::Domain));
};
template <> struct Fields<DeleteTarget> {
  static constexpr const char *Name = "delete-target";
  static constexpr auto Table = std::make_tuple(field("id", &DeleteTarget::Id));
};
template <> struct Fields<SetCap> {
  using R = SetCap;
  static constexpr const char *Name = "set-cap";
  static constexpr auto Table = std::make_tuple(
      field("id", &R::Id), field("permille", &R::Permille), field("per", &R::Period));
};
template <> struct Fields<StartDrain> {
  using R = StartDrain;
  static constexpr const char *Name = "start-drain";
  static constexpr auto Table =
      std::make_tuple(field("kind", &R::Kind), field("name", &R::Name), field("by", &R::TimeLimit));
};
template <> struct Fields<UpdateDrain> {
  using R = UpdateDrain;
  static constexpr const char *Name = "update-drain";
  static constexpr auto Table =
      std::make_tuple(field("id", &R::Id), field("state", &R::State), field("reason", &R::Reason));
};
template <> struct Fields<CancelDrain> {
  using R = CancelDrain;
  static constexpr const char *Name = "cancel-drain";
  static constexpr auto Table = std::make_tuple(field("kind", &R::Kind), field("name", &R::Name));
};
template <> struct Fields<StartShift> {
  using R = StartShift;
  static constexpr const char *Name = "start-shift";
  static constexpr auto Table =
      std::make_tuple(field("from", &R::From), field("to", &R::To), field("permille", &R::Permille),
                      field("by", &R::TimeLimit));
};
template <> struct Fields<UpdateShift> {
  using R = UpdateShift;
  static constexpr const char *Name = "update-shift";
  static constexpr auto Table =
      std::make_tuple(field("id", &R::Id), field("state", &R::State), field("reason", &R::Reason),
                      field("shifted", &R::ShiftedPermille), bytesField("progress", &R::Progress));
};
template <> struct Fields<StartMove> {
  using R = StartMove;
  static constexpr const char *Name = "start-move";
  static constexpr auto Table =
      std::make_tuple(field("route", &R::Route), field("to", &R::To), field("by", &R::TimeLimit));
};
template <> struct Fields<UpdateMove> {
  using R = UpdateMove;
  static constexpr const char *Name = "update-move";
  static constexpr auto Table =
      std::make_tuple(field("id", &R::Id), field("state", &R::State), field("reason", &R::Reason),
                      field("share", &R::SharePermille), bytesField("progress", &R::Progress));
};
template <> struct Fields<CancelMove> {
  static constexpr const char *Name = "cancel-move";
  static constexpr auto Table = std::make_tuple(field("id", &CancelMove::Id));
};
template <> struct Fields<PutVm> {
  using R = PutVm;
  static constexpr const char *Name = "put-vm";
  static constexpr auto Table =
      std::make_tuple(field("id", &R::Id), field("control", &R::ControlAddress),
                      field("traffic", &R::TrafficAddress), field("region", &R::Region),
                      field("domain", &R::Domain));
};
template <> struct Fields<RemoveVm> {
  static constexpr const char *Name = "remove-vm";
  static constexpr auto Table = std::make_tuple(field("id", &RemoveVm::Id));
};
template <> struct Fields<SetRegionFailure> {
  using R = SetRegionFailure;
  static constexpr const char *Name = "set-region-failure";
  static constexpr auto Table =
      std::make_tuple(field("id", &R::Id), field("down", &R::Down), field("cause", &R::Cause),
                      field("load", &R::Load), field("forced", &R::ForcedShares));
};
template <> struct Fields<SetBlocks> {
  using R = SetBlocks;
  static constexpr const char *Name = "set-blocks";
  static constexpr auto Table =
      std::make_tuple(field("blocks", &R::Blocks), field("region", &R::Region));
};
template <> struct Fields<DeleteBlocks> {
  static constexpr const char *Name = "delete-blocks";
  static constexpr auto Table = std::make_tuple(field("blocks", &DeleteBlocks::Blocks));
};
template <> struct Fields<Outcome> {
  using R = Outcome;
  static constexpr auto Table = std::make_tuple(
      field("kind", &R::Status), field("at", &R::Version), field("winner", &R::WinningCommand),
      field("reason", &R::Reason), field("subject", &R::Subject), field("replayed", &R::Replayed));
};

template <class T, class = void> struct HasFields : std::false_type {};
template <class T> struct HasFields<T, std::void_t<decltype(Fields<T>::Table)>> : std::true_type {};
template <class T> struct IsOptional : std::false_type {};
template <class T> struct IsOptional<std::optional<T>> : std::true_type {};
template <class T> struct IsVector : std::false_type {};
template <class T> struct IsVector<std::vector<T>> : std::true_type {};
template <class T> struct IsId : std::false_type {};
template <class Tag> struct IsId<core::StringId<Tag>> : std::true_type {};
template <class Tag> struct IsId<core::NumberId<Tag>> : std::true_type {};

inline core::Json bytesToJson(std::string_view bytes) {
  return core::Json::binary({bytes.begin(), bytes.end()});
}

/// Returns the JSON form of a struct with a field table, or of a member value.
template <class T> core::Json toJson(const T &value) {
  if constexpr (HasFields<T>::value) {
    core::Json out = core::Json::object();
    auto writeOne = [&](const auto &it) {
      if constexpr (std::is_same_v<std::decay_t<decltype(it)>, BytesField<T>>)
        out[it.Name] = bytesToJson(value.*it.Member);
      else
        out[it.Name] = toJson(value.*it.Member);
    };
    std::apply([&](const auto &...fields) { (writeOne(fields), ...); }, Fields<T>::Table);
    return out;
  } else if constexpr (IsOptional<T>::value) {
    return value ? toJson(*value) : core::Json();
  } else if constexpr (IsVector<T>::value) {
    core::Json out = core::Json::array();
    for (const auto &it : value)
      out.push_back(toJson(it));
    return out;
  } else if constexpr (std::is_same_v<T, KeyDigest>) {
    return core::Json::binary({value.begin(), value.end()});
  } else if constexpr (std::is_same_v<T, core::Duration> || std::is_same_v<T, core::Time>) {
    return value.Ms;
  } else if constexpr (std::is_enum_v<T>) {
    return std::string(nameOf(value));
  } else if constexpr (IsId<T>::value) {
    return value.Value;
  } else {
    return value;
  }
}

template <class T> bool fromJson(const core::Json &j, T &out);

/// Reads a struct with a field table. The error names the missing or malformed member.
template <class T> absl::Status readFields(const core::Json &j, T &out) {
  if (!j.is_object())
    return absl::InvalidArgumentError("expected a map");
  const char *bad = nullptr;
  auto readOne = [&](const auto &it) {
    auto found = j.find(it.Name);
    bool ok = found != j.end();
    if constexpr (std::is_same_v<std::decay_t<decltype(it)>, BytesField<T>>) {
      ok = ok && found->is_binary();
      if (ok)
        (out.*it.Member).assign(found->get_binary().begin(), found->get_binary().end());
    } else {
      ok = ok && fromJson(*found, out.*it.Member);
    }
    if (!ok && bad == nullptr)
      bad = it.Name;
  };
  std::apply([&](const auto &...fields) { (readOne(fields), ...); }, Fields<T>::Table);
  if (bad != nullptr)
    return absl::InvalidArgumentError(concat("member ", bad, " is missing or malformed"));
  return absl::OkStatus();
}

/// Reads one value. Returns false for a wrong type or a number out of range.
template <class T> bool fromJson(const core::Json &j, T &out) {
  if constexpr (HasFields<T>::value) {
    return readFields(j, out).ok();
  } else if constexpr (IsOptional<T>::value) {
    out.reset();
    if (j.is_null())
      return true;
    return fromJson(j, out.emplace());
  } else if constexpr (IsVector<T>::value) {
    out.clear();
    return j.is_array() && std::all_of(j.begin(), j.end(), [&](const core::Json &it) {
             return fromJson(it, out.emplace_back());
           });
  } else if constexpr (std::is_same_v<T, KeyDigest>) {
    if (!j.is_binary() || j.get_binary().size() != out.size())
      return false;
    std::copy(j.get_binary().begin(), j.get_binary().end(), out.begin());
    return true;
  } else if constexpr (std::is_same_v<T, core::Duration> || std::is_same_v<T, core::Time>) {
    return fromJson(j, out.Ms);
  } else if constexpr (std::is_enum_v<T>) {
    const auto *name = j.get_ptr<const std::string *>();
    std::optional<T> value = name != nullptr ? enumFromName<T>(*name) : std::nullopt;
    if (value)
      out = *value;
    return value.has_value();
  } else if constexpr (IsId<T>::value) {
    return fromJson(j, out.Value);
  } else if constexpr (std::is_same_v<T, bool>) {
    if (j.is_boolean())
      out = j.get<bool>();
    return j.is_boolean();
  } else if constexpr (std::is_same_v<T, std::string>) {
    if (j.is_string())
      out = j.get<std::string>();
    return j.is_string();
  } else if constexpr (std::is_unsigned_v<T>) {
    if (!j.is_number_unsigned() || j.get<uint64_t>() > std::numeric_limits<T>::max())
      return false;
    out = static_cast<T>(j.get<uint64_t>());
    return true;
  } else {
    static_assert(std::is_same_v<T, int64_t>);
    constexpr auto max = static_cast<uint64_t>(std::numeric_limits<int64_t>::max());
    if (!j.is_number_integer() || (j.is_number_unsigned() && j.get<uint64_t>() > max))
      return false;
    out = j.get<int64_t>();
    return true;
  }
}

core::Json recordToJson(const AnyRecord &record);
absl::StatusOr<AnyRecord> recordFromJson(RecordKind kind, const core::Json &j);
core::Json changeToJson(const Change &change);

/// Returns the kind and the id of a record.
std::pair<RecordKind, std::string> keyOf(const AnyRecord &record);

/// Returns a hash of the kind and the encoded members of a record.
uint64_t recordHash(const AnyRecord &record);

} // namespace briarspar::config
