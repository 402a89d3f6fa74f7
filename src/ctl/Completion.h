#pragma once

#include <string>

namespace briarspar::ctl {

/// Returns a bash completion script for options and the keywords of statements.
std::string bashCompletion();

} // namespace briarspar::ctl
