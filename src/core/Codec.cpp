#include "core/Codec.h"

#include "absl/strings/str_cat.h"

#include <vector>

namespace briarspar::core {

namespace {

size_t nestingDepth(const Json &value) {
  // Iterative, because recursion over untrusted input could overflow the stack.
  size_t maxDepth = 0;
  std::vector<std::pair<const Json *, size_t>> pending{{&value, 1}};
  while (!pending.empty()) {
    auto [node, depth] = pending.back();
    pending.pop_back();
    if (depth > maxDepth)
      maxDepth = depth;
    if (!node->is_structured())
      continue;
    for (const Json &child : *node)
      pending.emplace_back(&child, depth + 1);
  }
  return maxDepth;
}

} // namespace

std::string encodeCbor(const Json &value) {
  std::string out;
  Json::to_cbor(value, out);
  return out;
}

absl::StatusOr<Json> decodeCbor(std::string_view bytes, const CodecLimits &limits) {
  if (bytes.size() > limits.MaxBytes)
    return absl::ResourceExhaustedError(
        absl::StrCat("message has ", bytes.size(), " bytes; the limit is ", limits.MaxBytes));
  try {
    Json value = Json::from_cbor(bytes.begin(), bytes.end(), /*strict=*/true);
    if (nestingDepth(value) > limits.MaxDepth)
      return absl::ResourceExhaustedError("message exceeds the maximum nesting depth");
    return value;
  } catch (const nlohmann::json::exception &e) {
    return absl::InvalidArgumentError(e.what());
  }
}

} // namespace briarspar::core
