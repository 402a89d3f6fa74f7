#include "core/Event.h"

namespace briarspar::core {

std::string_view eventName(EventId id) {
  switch (id) {
#define BRIARSPAR_EVENT_NAME(Number, Name, Text)                                                   \
  case EventId::Name:                                                                              \
    return #Name;
    BRIARSPAR_EVENTS(BRIARSPAR_EVENT_NAME)
#undef BRIARSPAR_EVENT_NAME
  }
  return "Unknown";
}

std::string_view eventText(EventId id) {
  switch (id) {
#define BRIARSPAR_EVENT_TEXT(Number, Name, Text)                                                   \
  case EventId::Name:                                                                              \
    return Text;
    BRIARSPAR_EVENTS(BRIARSPAR_EVENT_TEXT)
#undef BRIARSPAR_EVENT_TEXT
  }
  return "unknown event";
}

} // namespace briarspar::core
