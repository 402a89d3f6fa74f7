#include "core/Codec.h"
#include "core/testing/Property.h"

#include <string>
#include <vector>

using namespace briarspar::core;

namespace {

struct Point {
  int X = 0;
};

void from_json(const Json &j, Point &p) { j.at("x").get_to(p.X); }

} // namespace

/// A malformed or truncated message must not terminate the process with an uncaught exception.
Test(Codec, arbitraryBytesNeverThrow) {
  testing::checkProperty("decoding returns a status", [](const std::vector<uint8_t> &bytes) {
    std::string buf(bytes.begin(), bytes.end());
    (void)decodeCbor(buf);
    (void)decodeCborAs<Point>(buf);
  });
}

/// Deeply nested input must be refused, because recursive readers would overflow the stack on it.
Test(Codec, deepNestingIsRejected) {
  Json value = Json::array();
  for (int n = 0; n < 40; ++n)
    value = Json::array({value});
  cr_assert(absl::IsResourceExhausted(decodeCbor(encodeCbor(value)).status()));
}

/// A message with a missing member or one of the wrong type must give an error.
Test(Codec, mistypedMemberIsAnError) {
  cr_assert(absl::IsInvalidArgument(decodeCborAs<Point>(encodeCbor({{"x", "one"}})).status()));
  cr_assert(absl::IsInvalidArgument(decodeCborAs<Point>(encodeCbor(Json::object())).status()));
  cr_assert_eq(decodeCborAs<Point>(encodeCbor({{"x", 7}}))->X, 7);
}
