#pragma once

#include "core/Codec.h"

#include <cstdint>
#include <istream>
#include <map>
#include <set>
#include <string>
#include <string_view>
#include <vector>

namespace briarspar::ctl {

/// Reconstructs the history of one request from the logs of several processes: its log lines in
/// order of time, the state of each process that handled it, events of its targets that other
/// processes logged, and the probable cause of the result. Lines that do not parse are counted and
/// skipped.
class Explanation {
public:
  explicit Explanation(std::string request) : Request(std::move(request)) {}

  /// Reads the lines of one log. Text before the first brace of a line is ignored.
  void read(std::istream &log);

  /// Returns true if a line belongs to the request.
  bool hasRequest() const { return !RequestLines.empty(); }

  /// Returns the report, with one line for each log line and finding.
  std::string text() const;

private:
  struct Line {
    int64_t WallMs = 0;
    std::string Node;
    std::string Name;
    core::Json Details;
  };

  void classify(Line line);
  const Line *lastStateBefore(const Line &reference, std::string_view name) const;
  void appendNodeState(std::string &out, const Line &reference) const;
  void appendTargetEvents(std::string &out) const;
  const Line *lastRequestLine(std::string_view name) const;
  std::string cause() const;
  std::string rateRefusalCause(const Line &refusal) const;
  std::string lostTargetCause(const Line &refusal, const Line &chosen) const;
  std::string noTargetCause(const Line &failure) const;
  std::string latencyCause(const Line &finish) const;
  size_t countUnhealthyReports(const std::string &target, const Line &refusal) const;

  const std::string Request;
  std::vector<Line> RequestLines; ///< Log lines of the request.
  std::vector<Line> StateLines;   ///< Log lines that change the state a process acts on.
  uint64_t UnreadableLines = 0;
};

} // namespace briarspar::ctl
