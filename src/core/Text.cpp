#include "core/Text.h"

#include <algorithm>
#include <cctype>

namespace briarspar::core {

bool equalsIgnoreCase(std::string_view a, std::string_view b) {
  return a.size() == b.size() &&
         std::equal(a.begin(), a.end(), b.begin(), [](unsigned char x, unsigned char y) {
           return std::tolower(x) == std::tolower(y);
         });
}

std::string_view trim(std::string_view text) {
  constexpr std::string_view blank = " \t";
  size_t first = text.find_first_not_of(blank);
  if (first == std::string_view::npos)
    return {};
  return text.substr(first, text.find_last_not_of(blank) - first + 1);
}

std::vector<std::string_view> split(std::string_view text, char separator) {
  std::vector<std::string_view> out;
  while (true) {
    size_t at = text.find(separator);
    out.push_back(text.substr(0, at));
    if (at == std::string_view::npos)
      return out;
    text.remove_prefix(at + 1);
  }
}

std::pair<std::string_view, std::string_view> splitOnce(std::string_view text, char separator) {
  size_t at = text.find(separator);
  if (at == std::string_view::npos)
    return {text, {}};
  return {text.substr(0, at), text.substr(at + 1)};
}

bool consumePrefix(std::string_view &text, std::string_view prefix) {
  if (text.substr(0, prefix.size()) != prefix)
    return false;
  text.remove_prefix(prefix.size());
  return true;
}

} // namespace briarspar::core
