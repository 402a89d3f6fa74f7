#pragma once

#include <charconv>
#include <optional>
#include <string>
#include <string_view>
#include <type_traits>
#include <utility>
#include <vector>

// String functions on std::string_view. The packaged Abseil is built with its own string_view type,
// to which std::string_view does not convert.

namespace briarspar::core {

/// Compares two strings, ignoring the case of ASCII letters.
bool equalsIgnoreCase(std::string_view a, std::string_view b);

/// Removes leading and trailing spaces and tabs.
std::string_view trim(std::string_view text);

/// Splits at every separator. An empty string yields one empty part.
std::vector<std::string_view> split(std::string_view text, char separator);

/// Splits at the first separator. The second part is empty if there is none.
std::pair<std::string_view, std::string_view> splitOnce(std::string_view text, char separator);

/// Removes a prefix. Returns false, and leaves `text` unchanged, if it does not start with it.
bool consumePrefix(std::string_view &text, std::string_view prefix);

/// Parses the whole string as a number. Returns nullopt if it is malformed or out of range.
template <class T> std::optional<T> parseNumber(std::string_view text, int base = 10) {
  T value{};
  std::from_chars_result result;
  if constexpr (std::is_floating_point_v<T>)
    result = std::from_chars(text.data(), text.data() + text.size(), value);
  else
    result = std::from_chars(text.data(), text.data() + text.size(), value, base);
  if (result.ec != std::errc() || result.ptr != text.data() + text.size())
    return std::nullopt;
  return value;
}

} // namespace briarspar::core
