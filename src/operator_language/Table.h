#pragma once

#include "core/Codec.h"

#include <string>
#include <vector>

namespace briarspar::operator_language {

/// The result of a query. Cells are strings, numbers or null; every row has a cell per column.
struct Table {
  std::vector<std::string> Columns;
  std::vector<std::vector<core::Json>> Rows;
};

/// Formats a table for people: aligned columns below their names, one line a row. Control
/// characters in cells become '?', so that a cell cannot drive the terminal.
std::string formatTable(const Table &table);

/// Formats a table for programs: a JSON array with one object per row and a final newline.
std::string formatJson(const Table &table);

} // namespace briarspar::operator_language
