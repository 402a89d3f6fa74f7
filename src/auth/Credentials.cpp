#include "auth/Credentials.h"

#include "absl/strings/ascii.h"

namespace briarspar::auth {

namespace {

constexpr std::string_view BearerScheme = "bearer";

/// Returns the name in lower case with '_' replaced by '-'.
std::string normalized(std::string_view name) {
  std::string out(name);
  for (char &c : out)
    c = c == '_' ? '-' : absl::ascii_tolower(static_cast<unsigned char>(c));
  return out;
}

std::string_view trimmed(std::string_view text) {
  constexpr std::string_view blanks = " \t";
  size_t first = text.find_first_not_of(blanks);
  if (first == std::string_view::npos)
    return {};
  return text.substr(first, text.find_last_not_of(blanks) - first + 1);
}

int hexValue(char c) {
  if (c >= '0' && c <= '9')
    return c - '0';
  char lower = absl::ascii_tolower(static_cast<unsigned char>(c));
  return lower >= 'a' && lower <= 'f' ? lower - 'a' + 10 : -1;
}

/// Decodes %XX and '+'. Malformed escapes are left unchanged.
std::string decoded(std::string_view text) {
  std::string out;
  for (size_t n = 0; n < text.size(); ++n) {
    bool escape = text[n] == '%' && n + 2 < text.size();
    int high = escape ? hexValue(text[n + 1]) : -1;
    int low = escape ? hexValue(text[n + 2]) : -1;
    if (high >= 0 && low >= 0) {
      out.push_back(static_cast<char>(high * 16 + low));
      n += 2;
    } else {
      out.push_back(text[n] == '+' ? ' ' : text[n]);
    }
  }
  return out;
}

bool isCredentialParameter(std::string_view parameter) {
  return normalized(decoded(parameter.substr(0, parameter.find('=')))) == "api-key";
}

} // namespace

bool isCredentialHeader(std::string_view name) {
  std::string it = normalized(trimmed(name));
  return it == "authorization" || it == "proxy-authorization" || it == "x-api-key";
}

std::string_view keyFromHeader(std::string_view name, std::string_view value) {
  std::string header = normalized(name);
  std::string_view text = trimmed(value);
  if (header == "x-api-key")
    return text;
  if (header != "authorization" || text.size() <= BearerScheme.size() ||
      normalized(text.substr(0, BearerScheme.size())) != BearerScheme)
    return {};
  std::string_view rest = text.substr(BearerScheme.size());
  return rest[0] == ' ' || rest[0] == '\t' ? trimmed(rest) : std::string_view();
}

bool containsKey(std::string_view text, const std::vector<std::string> &keys) {
  return std::any_of(keys.begin(), keys.end(), [&](const std::string &key) {
    return key.size() >= MinSearchedKeyBytes && (text.find(key) != std::string_view::npos ||
                                                 decoded(text).find(key) != std::string::npos);
  });
}

absl::Status stripRequestTarget(std::string &target, const std::vector<std::string> &keys) {
  size_t queryStart = target.find('?');
  if (containsKey(std::string_view(target).substr(0, queryStart), keys))
    return absl::InvalidArgumentError("the path contains the caller's key");
  if (queryStart == std::string::npos)
    return absl::OkStatus();
  std::string query;
  std::string_view rest = std::string_view(target).substr(queryStart + 1);
  bool first = true;
  while (true) {
    size_t end = rest.find_first_of("&;");
    std::string_view parameter = rest.substr(0, end);
    if (!isCredentialParameter(parameter) && !containsKey(parameter, keys)) {
      query.append(first ? "?" : "&").append(parameter);
      first = false;
    }
    if (end == std::string_view::npos)
      break;
    rest.remove_prefix(end + 1);
  }
  target = target.substr(0, queryStart) + query;
  return absl::OkStatus();
}

} // namespace briarspar::auth
