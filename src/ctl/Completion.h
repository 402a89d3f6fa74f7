#pragma once

#include <string>

namespace briarspar::ctl {

/// Returns a bash script that completes options and the words of statements.
std::string bashCompletion();

} // namespace briarspar::ctl
