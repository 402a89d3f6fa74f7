#include "operator_language/Table.h"

#include "absl/strings/ascii.h"

#include <algorithm>

namespace briarspar::operator_language {

namespace {

std::string cellText(const core::Json &cell) {
  if (cell.is_null())
    return "-";
  std::string text = cell.is_string()
                         ? cell.get<std::string>()
                         : cell.dump(-1, ' ', false, core::Json::error_handler_t::replace);
  std::replace_if(
      text.begin(), text.end(), [](unsigned char c) { return absl::ascii_iscntrl(c); }, '?');
  return text.empty() ? "-" : text;
}

void appendLine(std::string &out, const std::vector<std::string> &cells,
                const std::vector<size_t> &widths) {
  std::string line;
  for (size_t n = 0; n < cells.size(); ++n) {
    line += cells[n];
    line.append(widths[n] - cells[n].size() + 2, ' ');
  }
  line.erase(line.find_last_not_of(' ') + 1);
  out += line + "\n";
}

} // namespace

std::string formatTable(const Table &table) {
  std::vector<std::vector<std::string>> lines{table.Columns};
  for (const auto &row : table.Rows) {
    std::vector<std::string> &line = lines.emplace_back(table.Columns.size(), "-");
    for (size_t n = 0; n < std::min(row.size(), line.size()); ++n)
      line[n] = cellText(row[n]);
  }
  std::vector<size_t> widths(table.Columns.size());
  for (const auto &line : lines)
    for (size_t n = 0; n < line.size(); ++n)
      widths[n] = std::max(widths[n], line[n].size());
  std::string out;
  for (const auto &line : lines)
    appendLine(out, line, widths);
  return out;
}

std::string formatJson(const Table &table) {
  core::Json out = core::Json::array();
  for (const auto &row : table.Rows) {
    core::Json object = core::Json::object();
    for (size_t n = 0; n < std::min(row.size(), table.Columns.size()); ++n)
      object[table.Columns[n]] = row[n];
    out.push_back(std::move(object));
  }
  return out.dump(2, ' ', false, core::Json::error_handler_t::replace) + "\n";
}

} // namespace briarspar::operator_language
