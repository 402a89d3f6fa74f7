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

/// Guards against a malformed or truncated message that ends the process.
Test(Codec, arbitraryBytesNeverThrow) {
  testing::checkProperty("decoding returns a status", [](const std::vector<uint8_t> &bytes) {
    std::string buf(bytes.begin(), bytes.end());
    (void)decodeCbor(buf);
    (void)decodeCborAs<Point>(buf);
  });
}

/// Guards against nesting that exhausts the stack of a recursive reader.
Test(Codec, deepNestingIsRefused) {
  Json value = Json::array();
  for (int n = 0; n < 40; ++n)
    value = Json::array({value});
  cr_assert(absl::IsResourceExhausted(decodeCbor(encodeCbor(value)).status()));
}

/// Guards against a message that claims the wrong type for a member.
Test(Codec, mistypedMemberIsAnError) {
  cr_assert(absl::IsInvalidArgument(decodeCborAs<Point>(encodeCbor({{"x", "one"}})).status()));
  cr_assert(absl::IsInvalidArgument(decodeCborAs<Point>(encodeCbor(Json::object())).status()));
  cr_assert_eq(decodeCborAs<Point>(encodeCbor({{"x", 7}}))->X, 7);
}
