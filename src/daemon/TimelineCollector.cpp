#include "daemon/TimelineCollector.h"

#include <algorithm>
#include <chrono>
#include <tuple>

namespace briarspar::daemon {

namespace {

using core::Json;

/// Time limit for the answers of other VMs.
constexpr std::chrono::milliseconds CollectTimeout{1500};

/// Maximum number of events from one VM; older ones are omitted.
constexpr size_t MaxEventsPerVm = 2000;

auto sortKey(const Json &event) {
  return std::make_tuple(event.value("wall_ms", int64_t{0}), event.value("vm", std::string()),
                         event.value("sequence", uint64_t{0}));
}

} // namespace

std::vector<Json> TimelineCollector::localEvents(const std::string &request) const {
  std::vector<Json> events;
  for (const observability::TimelineEntry &it : Log.since(0, SIZE_MAX))
    if (request.empty() || it.Details.value("request", std::string()) == request)
      events.push_back(it);
  if (events.size() > MaxEventsPerVm)
    events.erase(events.begin(), events.end() - MaxEventsPerVm);
  return events;
}

std::vector<Json> TimelineCollector::collect(const std::string &request) {
  auto collection = std::make_shared<Collection>();
  collection->Events = localEvents(request);
  std::vector<core::VmId> others = Vms();
  others.erase(std::remove(others.begin(), others.end(), Self), others.end());

  std::unique_lock<std::mutex> lock(Mutex);
  uint64_t number = ++LastCollection;
  collection->Missing = others.size();
  Collections[number] = collection;
  std::string body = core::encodeCbor({{"collection", number}, {"request", request}});
  Control.post([this, others, body] {
    for (const core::VmId &vm : others)
      Send(vm, kind::Events, body);
  });
  collection->Changed.wait_for(lock, CollectTimeout, [&] { return collection->Missing == 0; });
  Collections.erase(number);
  std::vector<Json> events = std::move(collection->Events);
  lock.unlock();
  std::sort(events.begin(), events.end(),
            [](const Json &a, const Json &b) { return sortKey(a) < sortKey(b); });
  return events;
}

bool TimelineCollector::receive(const core::VmId &from, std::string_view kind,
                                std::string_view bytes) {
  if (kind != kind::Events && kind != kind::EventsResponse)
    return false;
  absl::StatusOr<Json> body = core::decodeCbor(bytes);
  if (!body.ok() || !body->is_object())
    return true;
  if (kind == kind::Events)
    onRequest(from, *body);
  else
    onResponse(*body);
  return true;
}

void TimelineCollector::onRequest(const core::VmId &from, const Json &body) {
  Json answer = {{"collection", body.value("collection", uint64_t{0})},
                 {"events", localEvents(body.value("request", std::string()))}};
  Send(from, kind::EventsResponse, core::encodeCbor(answer));
}

void TimelineCollector::onResponse(const Json &body) {
  std::lock_guard<std::mutex> lock(Mutex);
  auto it = Collections.find(body.value("collection", uint64_t{0}));
  if (it == Collections.end() || !body.contains("events") || !body["events"].is_array())
    return;
  for (const Json &event : body["events"])
    if (event.is_object())
      it->second->Events.push_back(event);
  if (it->second->Missing > 0)
    --it->second->Missing;
  it->second->Changed.notify_one();
}

operator_language::Table timelineTable(const std::vector<Json> &events) {
  operator_language::Table table;
  table.Columns = {"wall_ms", "vm", "event", "name", "details"};
  for (const Json &it : events)
    table.Rows.push_back({it.value("wall_ms", int64_t{0}), it.value("vm", std::string()),
                          it.value("event", 0), it.value("name", std::string()),
                          it.contains("details") ? it["details"].dump() : std::string()});
  return table;
}

} // namespace briarspar::daemon
