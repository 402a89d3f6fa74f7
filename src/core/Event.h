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

/// Returns the name of an event from the catalogue.
std::string_view eventName(EventId id);

/// Returns the one-line description of an event from the catalogue.
std::string_view eventText(EventId id);

/// An event and its details. Details must not contain API keys or secrets.
struct Event {
  EventId Id = EventId::ProcessStarted;
  Json Details = Json::object(); ///< Flat object of strings and numbers.
};

/// Receives events. Called from the control thread and from request threads; implementations must
/// be thread-safe and must not block, unless they are documented to be used on one thread only.
class EventSink {
public:
  virtual ~EventSink() = default;
  virtual void emit(Event event) = 0;
};

} // namespace briarspar::core
