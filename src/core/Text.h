#pragma once

#include <charconv>
#include <optional>
#include <string>
#include <string_view>
#include <type_traits>
#include <utility>
#include <vector>

// Text operations on std::string_view. The packaged Abseil has a string view of its own, to which
// std::string_view does not convert.

namespace briarspar::core {

/// Compares two texts without regard to the case of ASCII letters.
bool equalsIgnoreCase(std::string_view a, std::string_view b);

/// Returns the text without spaces and tabs at its ends.
std::string_view trim(std::string_view text);

/// Splits at every separator; an empty text gives one empty part.
std::vector<std::string_view> split(std::string_view text, char separator);

/// Splits at the first separator; without one the second part is empty.
std::pair<std::string_view, std::string_view> splitOnce(std::string_view text, char separator);

/// Removes a prefix. Returns false when the text does not begin with it.
bool consumePrefix(std::string_view &text, std::string_view prefix);

/// Reads a whole text as a number, or nothing.
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
