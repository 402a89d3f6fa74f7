#include "catalog/Items.h"

namespace briarspar::catalog {

void to_json(core::Json &j, const WeightedService &it) { j = {it.Service, it.Weight}; }

void from_json(const core::Json &j, WeightedService &it) {
  j.at(0).get_to(it.Service);
  j.at(1).get_to(it.Weight);
}

void to_json(core::Json &j, const Route &it) {
  j = {{"name", it.Name},
       {"host", it.Host},
       {"prefix", it.Prefix},
       {"idempotent", it.Idempotent},
       {"timeout_ms", it.Timeout},
       {"goal_ms", it.LatencyGoal},
       {"max_targets", it.MaxTargets},
       {"priority", it.Priority},
       {"open", it.Open},
       {"sticky", it.Sticky},
       {"services", it.Services},
       {"homes", it.HomeRegions}};
}

void from_json(const core::Json &j, Route &it) {
  j.at("name").get_to(it.Name);
  j.at("host").get_to(it.Host);
  j.at("prefix").get_to(it.Prefix);
  j.at("idempotent").get_to(it.Idempotent);
  j.at("timeout_ms").get_to(it.Timeout);
  j.at("goal_ms").get_to(it.LatencyGoal);
  j.at("max_targets").get_to(it.MaxTargets);
  j.at("priority").get_to(it.Priority);
  j.at("open").get_to(it.Open);
  j.at("sticky").get_to(it.Sticky);
  j.at("services").get_to(it.Services);
  j.at("homes").get_to(it.HomeRegions);
}

void to_json(core::Json &j, const Customer &it) {
  j = {{"name", it.Name},
       {"keys", it.Keys},
       {"rate_per_s", it.RatePerS},
       {"burst", it.Burst},
       {"homes", it.HomeRegions}};
  if (it.Priority)
    j["priority"] = *it.Priority;
}

void from_json(const core::Json &j, Customer &it) {
  j.at("name").get_to(it.Name);
  j.at("keys").get_to(it.Keys);
  j.at("rate_per_s").get_to(it.RatePerS);
  j.at("burst").get_to(it.Burst);
  j.at("homes").get_to(it.HomeRegions);
  if (j.contains("priority"))
    it.Priority = j.at("priority").get<uint32_t>();
}

void to_json(core::Json &j, const Service &it) {
  j = {{"name", it.Name},
       {"health_path", it.HealthPath},
       {"max_connections", it.MaxConnections},
       {"cold_ms", it.ColdDuration},
       {"cold_per_s", it.ColdRatePerS}};
}

void from_json(const core::Json &j, Service &it) {
  j.at("name").get_to(it.Name);
  j.at("health_path").get_to(it.HealthPath);
  j.at("max_connections").get_to(it.MaxConnections);
  j.at("cold_ms").get_to(it.ColdDuration);
  j.at("cold_per_s").get_to(it.ColdRatePerS);
}

void to_json(core::Json &j, const CallerLimits &it) {
  j = {{"header_bytes", it.HeaderBytes},
       {"body_bytes", it.BodyBytes},
       {"header_ms", it.HeaderTimeout},
       {"idle_ms", it.IdleTimeout}};
}

void from_json(const core::Json &j, CallerLimits &it) {
  j.at("header_bytes").get_to(it.HeaderBytes);
  j.at("body_bytes").get_to(it.BodyBytes);
  j.at("header_ms").get_to(it.HeaderTimeout);
  j.at("idle_ms").get_to(it.IdleTimeout);
}

} // namespace briarspar::catalog
