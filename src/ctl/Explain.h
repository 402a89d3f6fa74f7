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

/// Puts together the path of one request from the logs of several processes: its lines in the order
/// of time, what the processes that handled it believed at that moment, what others found out about
/// its targets, and the cause as far as the lines show it. Lines that are no log lines are counted
/// and left out.
class Explanation {
public:
  explicit Explanation(std::string request) : Request(std::move(request)) {}

  /// Takes the lines of one log. What stands before the first brace of a line is left out.
  void read(std::istream &log);

  /// True when some line names the request.
  bool hasRequest() const { return !Path.empty(); }

  /// Returns the text, one line for each log line and finding.
  std::string text() const;

private:
  struct Line {
    int64_t WallMs = 0;
    std::string Node;
    std::string Name;
    core::Json Details;
  };

  void take(Line line);
  const Line *lastBefore(const Line &of, std::string_view name) const;
  void addBeliefs(std::string &out, const Line &of) const;
  void addTargets(std::string &out) const;
  const Line *lastOf(std::string_view name) const;
  std::string cause() const;
  std::string causeOfRate(const Line &refusal) const;
  std::string causeOfLoss(const Line &refusal, const Line &chosen) const;
  std::string causeOfNoTarget(const Line &failure) const;
  std::string causeOfTime(const Line &finish) const;
  size_t countUnhealthy(const std::string &target, const Line &refusal) const;

  const std::string Request;
  std::vector<Line> Path;    ///< Lines of the request.
  std::vector<Line> Beliefs; ///< Lines that change what a process believes.
  uint64_t Unreadable = 0;
};

} // namespace briarspar::ctl
