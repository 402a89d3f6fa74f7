#include "core/JsonArray.h"

#include <algorithm>

namespace briarspar::core {

namespace {

size_t skipSpace(std::string_view text, size_t at) {
  const size_t next = text.find_first_not_of(" \t\r\n", at);
  return next == std::string_view::npos ? text.size() : next;
}

/// Returns the offset behind the element that starts at `at`, by its brackets and strings, or npos.
size_t endOfElement(std::string_view text, size_t at) {
  size_t depth = 0;
  bool isInString = false;
  for (; at < text.size(); ++at) {
    const char c = text[at];
    if (isInString) {
      if (c == '\\')
        ++at;
      else if (c == '"')
        isInString = false;
    } else if (c == '"') {
      isInString = true;
    } else if (c == '[' || c == '{') {
      ++depth;
    } else if ((c == ']' || c == '}') && depth > 0 && --depth == 0) {
      return at + 1;
    }
  }
  return std::string_view::npos;
}

/// Returns the offset at which an invalid element that starts at `at` ends: before a comma that is
/// followed by a bracket, or before the end of the array.
size_t endOfInvalidElement(std::string_view text, size_t at) {
  for (size_t i = at; i < text.size(); ++i) {
    const size_t next = skipSpace(text, i + 1);
    if (next >= text.size())
      return std::string_view::npos;
    if (text[i] == ',' && text[next] == '[')
      return i;
    if (text[i] == ']' && text[next] == ']')
      return i + 1;
    if (text[i] == ']' && text[next] == '}')
      return i;
  }
  return std::string_view::npos;
}

bool isArrayOfScalars(const Json &element) {
  return element.is_array() && std::none_of(element.begin(), element.end(),
                                            [](const Json &it) { return it.is_structured(); });
}

} // namespace

std::optional<LenientArray> parseLenientArray(std::string_view text) {
  if (text.empty() || text.front() != '[')
    return std::nullopt;
  LenientArray out;
  size_t at = skipSpace(text, 1);
  while (at < text.size() && text[at] != ']' && text[at] != '}') {
    size_t end = text[at] == '[' ? endOfElement(text, at) : std::string_view::npos;
    Json element(Json::value_t::discarded);
    if (end != std::string_view::npos)
      element = Json::parse(text.substr(at, end - at), nullptr, /*allow_exceptions=*/false);
    if (!isArrayOfScalars(element)) {
      ++out.Unreadable;
      end = endOfInvalidElement(text, at);
      if (end == std::string_view::npos)
        return std::nullopt;
    } else {
      out.Elements.push_back(std::move(element));
    }
    at = skipSpace(text, end);
    if (at < text.size() && text[at] == ',')
      at = skipSpace(text, at + 1);
  }
  if (at >= text.size())
    return std::nullopt;
  // The bracket is missing if the last element was cut.
  out.End = text[at] == ']' ? at + 1 : at;
  return out;
}

} // namespace briarspar::core
