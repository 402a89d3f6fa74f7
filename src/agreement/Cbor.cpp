#include "agreement/Cbor.h"

#include "absl/strings/str_cat.h"

#include <vector>

namespace briarspar::agreement {

using core::Json;

void throwInvalidContent(const std::string &why) {
  // 500 and above is the range of "other" errors in nlohmann-json.
  throw Json::other_error::create(599, why, nullptr);
}

namespace {

uint64_t checkedNumber(const Json &value, const char *name) {
  if (!value.is_number_unsigned() || value.get<uint64_t>() > MaxEncodedNumber)
    throwInvalidContent(absl::StrCat(name, " is not an unsigned number in range"));
  return value.get<uint64_t>();
}

} // namespace

uint64_t readNumber(const Json &j, const char *name) { return checkedNumber(j.at(name), name); }

bool readBool(const Json &j, const char *name) {
  const Json &value = j.at(name);
  if (!value.is_boolean())
    throwInvalidContent(absl::StrCat(name, " is not a boolean"));
  return value.get<bool>();
}

std::string readBytes(const Json &j, const char *name) {
  const Json &value = j.at(name);
  if (!value.is_binary())
    throwInvalidContent(absl::StrCat(name, " is not a byte string"));
  const std::vector<uint8_t> &bytes = value.get_binary();
  return {bytes.begin(), bytes.end()};
}

std::string readText(const Json &j, const char *name) {
  const Json &value = j.at(name);
  if (!value.is_string())
    throwInvalidContent(absl::StrCat(name, " is not a text"));
  return value.get<std::string>();
}

const Json &readArray(const Json &j, const char *name) {
  const Json &value = j.at(name);
  if (!value.is_array())
    throwInvalidContent(absl::StrCat(name, " is not an array"));
  return value;
}

namespace {

VoterId voterIdFrom(const Json &j) {
  if (!j.is_array() || j.size() != 2 || !j[0].is_string() ||
      j[0].get_ref<const std::string &>().empty())
    throwInvalidContent("voter id is not a pair of VM and incarnation");
  return {core::VmId(j[0].get<std::string>()),
          core::Incarnation(checkedNumber(j[1], "incarnation"))};
}

} // namespace

VoterId readVoterId(const Json &j, const char *name) { return voterIdFrom(j.at(name)); }

Entry readEntry(const Json &j) {
  Entry entry;
  entry.Index = core::LogIndex(readNumber(j, "i"));
  entry.InTerm = core::Term(readNumber(j, "t"));
  uint64_t kind = readNumber(j, "k");
  if (kind > static_cast<uint64_t>(EntryKind::NoOperation))
    throwInvalidContent("unknown entry kind");
  entry.Kind = static_cast<EntryKind>(kind);
  entry.Data = readBytes(j, "d");
  if (entry.Kind == EntryKind::Configuration && !decodeConfiguration(entry.Data).ok())
    throwInvalidContent("configuration entry is malformed");
  return entry;
}

Configuration readConfiguration(const Json &j) {
  Configuration configuration;
  for (const Json &id : readArray(j, "voters"))
    configuration.Voters.insert(voterIdFrom(id));
  for (const Json &id : readArray(j, "learners"))
    configuration.Learners.insert(voterIdFrom(id));
  for (const Json &id : readArray(j, "newest")) {
    VoterId newest = voterIdFrom(id);
    configuration.NewestIncarnations[newest.Vm] = newest.DataIncarnation;
  }
  if (configuration.empty())
    throwInvalidContent("configuration has no voters");
  return configuration;
}

Json bytesJson(std::string_view bytes) {
  return Json::binary(std::vector<uint8_t>(bytes.begin(), bytes.end()));
}

Json voterIdJson(const VoterId &id) { return Json::array({id.Vm.Value, id.DataIncarnation.Value}); }

Json entryJson(const Entry &entry) {
  return {{"i", entry.Index.Value},
          {"t", entry.InTerm.Value},
          {"k", static_cast<uint64_t>(entry.Kind)},
          {"d", bytesJson(entry.Data)}};
}

Json configurationJson(const Configuration &configuration) {
  Json voters = Json::array();
  for (const VoterId &id : configuration.Voters)
    voters.push_back(voterIdJson(id));
  Json learners = Json::array();
  for (const VoterId &id : configuration.Learners)
    learners.push_back(voterIdJson(id));
  Json newest = Json::array();
  for (const auto &[vm, data] : configuration.NewestIncarnations)
    newest.push_back(voterIdJson({vm, data}));
  return {{"voters", std::move(voters)},
          {"learners", std::move(learners)},
          {"newest", std::move(newest)}};
}

} // namespace briarspar::agreement
