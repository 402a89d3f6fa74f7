#pragma once

#include "absl/status/statusor.h"

#include <iosfwd>
#include <string>
#include <string_view>

namespace briarspar::ctl {

/// Turns a file of client blocks, one `PREFIX REGION` or `PREFIX -` a line, into statements of
/// bounded size. Neighbouring lines of one region share a statement.
class BlockFile {
public:
  explicit BlockFile(std::istream &in) : In(in) {}

  /// Returns the next statement, or an empty one at the end. A malformed line gives InvalidArgument
  /// with its number.
  absl::StatusOr<std::string> next();

  /// Number of the first line of the statement that next() returned last.
  size_t firstLine() const { return First; }

private:
  absl::Status readLine();

  std::istream &In;
  size_t Line = 0;
  size_t First = 0;
  std::string Block; ///< Of the line that was read and not yet used; empty: none.
  std::string Region;
};

} // namespace briarspar::ctl
