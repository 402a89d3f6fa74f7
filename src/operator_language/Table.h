#pragma once

#include "core/Codec.h"

#include <string>
#include <vector>

namespace briarspar::operator_language {

/// The result of a query. Cells are strings, numbers or null; every row has one cell per column.
struct Table {
  std::vector<std::string> Columns;
  std::vector<std::vector<core::Json>> Rows;
};

/// Formats a table as text with a header line and aligned columns, one line per row. Control
/// characters in cells are replaced with '?', so that a cell cannot inject terminal sequences.
std::string formatTable(const Table &table);

/// Formats a table as a JSON array with one object per row and a final newline.
std::string formatJson(const Table &table);

} // namespace briarspar::operator_language
