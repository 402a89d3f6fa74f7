#pragma once

#include "absl/strings/str_cat.h"
#include "absl/strings/string_view.h"

#include <string>
#include <string_view>
#include <type_traits>

namespace briarspar::config {

/// absl::StrCat that also accepts std::string_view. The packaged Abseil is built for C++14, where
/// absl::string_view is a distinct type.
template <class... Parts> std::string concat(const Parts &...parts) {
  auto piece = [](const auto &it) {
    if constexpr (std::is_convertible_v<decltype(it), std::string_view>) {
      std::string_view view = it;
      return absl::string_view(view.data(), view.size());
    } else {
      return it;
    }
  };
  return absl::StrCat(piece(parts)...);
}

} // namespace briarspar::config
