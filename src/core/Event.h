#pragma once

#include "core/Clock.h"
#include "core/Codec.h"
#include "core/EventCatalogue.h"

#include <cstdint>
#include <string>
#include <string_view>

namespace briarspar::core {

enum class EventId : uint16_t {
#define BRIARSPAR_EVENT_ENUM(Number, Name, Text) Name = Number,
  BRIARSPAR_EVENTS(BRIARSPAR_EVENT_ENUM)
#undef BRIARSPAR_EVENT_ENUM
};

/// Returns the name of an event as the catalogue lists it.
std::string_view eventName(EventId id);

/// Returns the one-line meaning of an event as the catalogue lists it.
std::string_view eventText(EventId id);

/// One numbered event with its details. Details never contain keys or secrets.
struct Event {
  EventId Id = EventId::ProcessStarted;
  Json Details = Json::object(); ///< Flat object: field name to string or number.
};

/// Receives events. Called from the control thread and from traffic threads; implementations are
/// safe to call from any thread and do not block.
class EventSink {
public:
  virtual ~EventSink() = default;
  virtual void emit(Event event) = 0;
};

} // namespace briarspar::core
