#include "node/NodeSettings.h"

#include "absl/strings/str_cat.h"
#include "core/Codec.h"
#include "core/SchemaCheck.h"
#include "core/Text.h"
#include "platform/Bounds.h"
#include "platform/Names.h"

#include <algorithm>

namespace briarspar::node {

namespace {

using core::Json;

constexpr std::string_view Schema = R"json({
  "$schema": "http://json-schema.org/draft-07/schema#",
  "type": "object",
  "required": ["role", "name", "vm", "region", "domain", "domains", "peer_port", "seeds", "secret"],
  "properties": {
    "role": {"type": "string", "enum": ["entry", "control"]},
    "name": {"type": "string", "minLength": 1, "maxLength": 128},
    "vm": {"type": "string", "minLength": 1, "maxLength": 64},
    "region": {"type": "string", "minLength": 1, "maxLength": 64},
    "domain": {"type": "string", "minLength": 1, "maxLength": 64},
    "domains": {"type": "object", "additionalProperties": {"type": "string"}},
    "callers": {"type": "string"},
    "ready": {"type": "string"},
    "operators": {"type": "string"},
    "lookups": {"type": "string"},
    "peer_port": {"type": "integer", "minimum": 1, "maximum": 65535},
    "metrics_port": {"type": "integer", "minimum": 0, "maximum": 65535},
    "seeds": {"type": "array", "items": {"type": "string"}},
    "data_folder": {"type": "string"},
    "bootstrap": {"type": "boolean"},
    "borne_losses": {"type": "integer", "minimum": 0, "maximum": 16},
    "target_list": {"type": "string"},
    "secret": {"type": "string", "minLength": 16},
    "bounds": {"type": "object"}
  }
})json";

/// A graceful stop completes this long before the platform kills the process.
constexpr core::Duration StopMargin{500};

absl::Status readAddress(const Json &j, const char *name, entry::Address &out) {
  auto text = j.value(name, std::string());
  if (text.empty())
    return absl::OkStatus();
  size_t colon = text.rfind(':');
  std::optional<uint16_t> port;
  if (colon != std::string::npos)
    port = core::parseNumber<uint16_t>(std::string_view(text).substr(colon + 1));
  if (!port)
    return absl::InvalidArgumentError(
        absl::StrCat("/", name, ": expected an IP address and a port"));
  out = {text.substr(0, colon), *port};
  return absl::OkStatus();
}

absl::Status checkRole(const NodeSettings &settings) {
  if (settings.ProcessRole == Role::Entry &&
      (settings.CallerAddress.Port == 0 || settings.ReadyAddress.Port == 0))
    return absl::InvalidArgumentError("an entry VM requires /callers and /ready");
  if (settings.ProcessRole == Role::Control && settings.OperatorAddress.Port == 0)
    return absl::InvalidArgumentError("a control VM requires /operators");
  if (settings.ProcessRole == Role::Control && settings.DataFolder.empty())
    return absl::InvalidArgumentError("a control VM requires /data_folder");
  return absl::OkStatus();
}

} // namespace

std::string_view nodeSettingsSchema() { return Schema; }

bool isNodeSettings(std::string_view text) {
  Json document = Json::parse(text, nullptr, /*allow_exceptions=*/false, /*ignore_comments=*/true);
  return document.is_object() && document.contains("role");
}

absl::StatusOr<NodeSettings> parseNodeSettings(std::string_view text) {
  Json j = Json::parse(text, nullptr, /*allow_exceptions=*/false, /*ignore_comments=*/true);
  if (j.is_discarded())
    return absl::InvalidArgumentError("the settings are not valid JSON");
  if (absl::Status status = core::checkSchema(j, Schema); !status.ok())
    return status;
  NodeSettings settings;
  settings.ProcessRole = j.at("role") == "entry" ? Role::Entry : Role::Control;
  j.at("name").get_to(settings.Name);
  j.at("vm").get_to(settings.Vm);
  j.at("region").get_to(settings.Region);
  j.at("domain").get_to(settings.Domain);
  for (const auto &[domain, region] : j.at("domains").items())
    settings.Domains[core::DomainId(domain)] = core::RegionId(region.get<std::string>());
  for (const absl::Status &status : {readAddress(j, "callers", settings.CallerAddress),
                                     readAddress(j, "ready", settings.ReadyAddress),
                                     readAddress(j, "operators", settings.OperatorAddress),
                                     readAddress(j, "lookups", settings.LookupAddress),
                                     readAddress(j, "target_list", settings.TargetListAddress)})
    if (!status.ok())
      return status;
  j.at("peer_port").get_to(settings.PeerPort);
  settings.MetricsPort = j.value("metrics_port", uint16_t{0});
  // A seed is given by the address of its operator listener, whose host is the VM id.
  for (const Json &it : j.at("seeds")) {
    auto text = it.get<std::string>();
    settings.Seeds.emplace_back(text.substr(0, text.rfind(':')));
  }
  settings.DataFolder = j.value("data_folder", std::string());
  settings.Bootstrap = j.value("bootstrap", false);
  settings.BorneLosses = j.value("borne_losses", settings.BorneLosses);
  j.at("secret").get_to(settings.Secret);
  const Json bounds = j.value("bounds", Json::object());
  for (const auto &[name, value] : bounds.items())
    if (value.is_number())
      settings.Bounds[name] = value.get<double>();
  if (absl::Status status = checkRole(settings); !status.ok())
    return status;
  return settings;
}

entry::EntryNodeSettings entrySettings(const NodeSettings &settings) {
  entry::EntryNodeSettings out;
  out.Location = {settings.Vm, settings.Region, settings.Domain, settings.Domains};
  out.Callers = settings.CallerAddress;
  out.Ready = settings.ReadyAddress;
  out.PeerPort = settings.PeerPort;
  out.Seeds = settings.Seeds;
  out.Names = platform::headerNames();
  platform::AgreedBounds bounds = platform::readBounds(settings.Bounds);
  const core::Duration grace{static_cast<int64_t>(bounds.GraceS * 1000)};
  out.StopTimeout = std::max(grace - StopMargin, out.StopAcceptTime);
  out.Selection.Cold.RateFactor = bounds.ColdExcess;
  out.Selection.Cold.ExtraRatePerS = bounds.ColdSlack;
  return out;
}

control::ControlNodeSettings controlSettings(const NodeSettings &settings) {
  control::ControlNodeSettings out;
  out.Vm = settings.Vm;
  out.Host = settings.OperatorAddress.Host;
  out.OperatorPort = settings.OperatorAddress.Port;
  out.LookupPort = settings.LookupAddress.Port == 0 ? settings.OperatorAddress.Port
                                                    : settings.LookupAddress.Port;
  out.PeerPort = settings.PeerPort;
  out.Seeds = settings.Seeds;
  out.DataFolder = settings.DataFolder;
  out.Bootstrap = settings.Bootstrap;
  out.BorneLosses = settings.BorneLosses;
  out.ListHost = settings.TargetListAddress.Host;
  out.ListPort = settings.TargetListAddress.Port;
  return out;
}

} // namespace briarspar::node
