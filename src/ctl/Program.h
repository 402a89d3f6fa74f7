#pragma once

#include "ctl/Tool.h"

#include <iosfwd>

namespace briarspar::ctl {

/// Input and output of the program. Tests replace them.
struct ProgramStreams {
  std::istream &In;
  std::ostream &Out;
  std::ostream &Err;
  bool IsTerminal = false; ///< In is a terminal, so a prompt is shown.
};

/// Runs briarsparctl. Returns its exit code.
int runProgram(int argc, const char *const *argv, const ProgramStreams &streams);

} // namespace briarspar::ctl
