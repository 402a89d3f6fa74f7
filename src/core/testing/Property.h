#pragma once

#include <criterion/criterion.h>
#include <rapidcheck.h>

#include <string>
#include <utility>

namespace briarspar::core::testing {

/// Checks a RapidCheck property inside a Criterion test. On failure RapidCheck prints the
/// counterexample and the seed. The environment variable RC_PARAMS sets the seed and the number of
/// cases.
template <class Property> void checkProperty(const std::string &name, Property &&property) {
  cr_assert(rc::check(name, std::forward<Property>(property)), "property failed: %s", name.c_str());
}

} // namespace briarspar::core::testing
