#pragma once

#include "absl/status/statusor.h"

#include <iosfwd>
#include <string>
#include <string_view>

namespace briarspar::ctl {

/// Converts a file of client blocks, with one `PREFIX REGION` or `PREFIX -` per line, to statements
/// of bounded size. Consecutive lines with the same region share a statement.
class BlockFile {
public:
  explicit BlockFile(std::istream &in) : In(in) {}

  /// Returns the next statement, or an empty string at the end of the file. A malformed line yields
  /// InvalidArgument with the line number.
  absl::StatusOr<std::string> next();

  /// Returns the number of the first line of the last statement returned by next().
  size_t firstLine() const { return FirstLine; }

private:
  absl::Status readLine();

  std::istream &In;
  size_t LineNumber = 0;
  size_t FirstLine = 0;
  std::string PendingBlock; ///< Block of a line that is read but not yet in a statement, or empty.
  std::string PendingRegion;
};

} // namespace briarspar::ctl
