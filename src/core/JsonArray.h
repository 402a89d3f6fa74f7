#pragma once

#include "core/Codec.h"

#include <cstddef>
#include <optional>
#include <string_view>
#include <vector>

namespace briarspar::core {

/// The elements of a JSON array of arrays of scalars, of which some may not be valid JSON.
struct LenientArray {
  std::vector<Json> Elements; ///< The valid ones, in order.
  size_t Unreadable = 0;      ///< Number of texts between them that are not valid JSON.
  size_t End = 0;             ///< Offset behind the closing bracket.
};

/// Parses the array that starts at the first character of `text`, so that an element with invalid
/// bytes or syntax costs only itself: the next one is taken to start at a bracket that follows a
/// comma. Elements that contain arrays or objects are invalid too, as a missing bracket makes them
/// of the elements that follow. Returns nullopt if the text does not start with a bracket or the
/// array does not end.
std::optional<LenientArray> parseLenientArray(std::string_view text);

} // namespace briarspar::core
