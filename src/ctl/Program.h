#pragma once

#include "ctl/Tool.h"

#include <iosfwd>

namespace briarspar::ctl {

/// Where the program reads and writes. Tests replace it.
struct ProgramStreams {
  std::istream &In;
  std::ostream &Out;
  std::ostream &Err;
  bool IsTerminal = false; ///< In is a terminal, so that a prompt makes sense.
};

/// The program briarsparctl. Returns its exit code.
int runProgram(int argc, const char *const *argv, const ProgramStreams &streams);

} // namespace briarspar::ctl
