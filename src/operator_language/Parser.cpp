#include "operator_language/Parser.h"

#include "absl/strings/numbers.h"
#include "config/Text.h"
#include "config/Validation.h"
#include "operator_language/Grammar.h"

#include <array>
#include <limits>
#include <optional>
#include <string>
#include <vector>

namespace briarspar::operator_language {

namespace {

using config::concat;
using grammar::ArgId;
namespace pegtl = tao::pegtl;

constexpr const char *ColumnPayload = "briarspar/column";

absl::Status errorAt(size_t column, std::string_view expected) {
  absl::Status status =
      absl::InvalidArgumentError(concat("column ", column, ": expected ", expected));
  status.SetPayload(ColumnPayload, absl::Cord(std::to_string(column)));
  return status;
}

struct Value {
  std::string Text;
  size_t Column = 0;
};

/// Collects the arguments of one statement and builds the result.
class StatementBuilder {
public:
  void store(ArgId argument, std::string text, size_t column) {
    std::optional<Value> &value = Values[static_cast<size_t>(argument)];
    if (value)
      recordError(column, "each option once");
    value = Value{std::move(text), column};
  }

  bool has(ArgId argument) const { return Values[static_cast<size_t>(argument)].has_value(); }
  const std::string &text(ArgId argument) const { return value(argument).Text; }

  template <class Id> Id id(ArgId argument) const { return Id(text(argument)); }

  template <class E> E choice(ArgId argument) const {
    return *config::enumFromName<E>(text(argument));
  }

  template <class N> N number(ArgId argument) {
    uint64_t n = 0;
    if (!absl::SimpleAtoi(text(argument), &n) || n > std::numeric_limits<N>::max())
      recordError(value(argument).Column,
                  concat("a number up to ", static_cast<uint64_t>(std::numeric_limits<N>::max())));
    return static_cast<N>(n);
  }

  template <class N> std::optional<N> optionalNumber(ArgId argument) {
    return has(argument) ? std::optional<N>(number<N>(argument)) : std::nullopt;
  }

  core::Duration duration(ArgId argument) {
    constexpr int64_t maxMs = int64_t{366} * 24 * 3600 * 1000;
    const std::string &durationText = text(argument);
    size_t unitAt = durationText.find_first_not_of("0123456789");
    std::string_view unit = std::string_view(durationText).substr(unitAt);
    int64_t n = 0;
    int64_t scale = unit == "ms"  ? 1
                    : unit == "s" ? 1000
                    : unit == "m" ? 60'000
                    : unit == "h" ? 3'600'000
                                  : 86'400'000;
    if (!absl::SimpleAtoi(durationText.substr(0, unitAt), &n) || n < 1 || n > maxMs / scale) {
      recordError(value(argument).Column, "a duration from 1ms to 366d");
      return {};
    }
    return {n * scale};
  }

  /// Converts a percentage with at most one decimal to permille.
  uint32_t permille(ArgId argument) {
    std::string percentText = text(argument);
    if (percentText.back() == '%')
      percentText.pop_back();
    size_t point = percentText.find('.');
    percentText = point == std::string::npos
                      ? percentText + "0"
                      : percentText.substr(0, point) + percentText.substr(point + 1);
    uint32_t n = 0;
    if (!absl::SimpleAtoi(percentText, &n) || n < 1 || n > 1000)
      recordError(value(argument).Column, "a percentage from 0.1% to 100%");
    return n;
  }

  std::string address(ArgId argument) {
    if (!config::checkAddress("address", text(argument)).empty())
      recordError(value(argument).Column, "an address IP:PORT");
    return text(argument);
  }

  std::string path(ArgId argument) {
    if (!config::checkPathPrefix(text(argument)).empty())
      recordError(value(argument).Column, "a path prefix without '?', '#' and '%'");
    return text(argument);
  }

  std::vector<config::BlockId> blocks(ArgId argument) {
    std::vector<config::BlockId> out;
    std::string_view rest = text(argument);
    size_t column = value(argument).Column;
    while (true) {
      std::string_view one = rest.substr(0, rest.find(','));
      if (!config::checkBlock(one).empty())
        recordError(column, "an IPv4 prefix such as 10.1.0.0/16");
      out.emplace_back(std::string(one));
      if (one.size() == rest.size())
        return out;
      rest.remove_prefix(one.size() + 1);
      column += one.size() + 1;
    }
  }

  config::KeyDigest digest(ArgId argument) const {
    config::KeyDigest out{};
    if (!has(argument))
      return out;
    for (size_t n = 0; n < out.size(); ++n)
      out[n] = static_cast<uint8_t>(std::stoul(text(argument).substr(2 * n, 2), nullptr, 16));
    return out;
  }

  /// Records an error; only the first one is kept.
  void recordError(size_t column, std::string_view expected) {
    if (Error.ok())
      Error = errorAt(column, expected);
  }

  config::Change RequestedChange;
  Query ParsedQuery;
  bool IsCommand = false;
  absl::Status Error;

private:
  const Value &value(ArgId argument) const { return *Values[static_cast<size_t>(argument)]; }

  std::array<std::optional<Value>, static_cast<size_t>(ArgId::Count)> Values;
};

template <class Rule> struct Action : pegtl::nothing<Rule> {};

template <ArgId S, class Text> struct Action<grammar::Arg<S, Text>> {
  template <class Input> static void apply(const Input &in, StatementBuilder &b) {
    std::string text = in.string();
    size_t blanks = text.find_first_not_of(" \t");
    b.store(S, text.substr(blanks), in.position().byte + 1 + blanks);
  }
};

template <> struct Action<grammar::Show> {
  static void apply0(StatementBuilder &b) {
    b.ParsedQuery.Body = ShowQuery{b.choice<Collection>(ArgId::Kind)};
  }
};
template <> struct Action<grammar::Watch> {
  static void apply0(StatementBuilder &b) {
    b.ParsedQuery.Body = WatchQuery{b.id<core::MoveId>(ArgId::Name)};
  }
};
template <> struct Action<grammar::Timeline> {
  static void apply0(StatementBuilder &b) {
    b.ParsedQuery.Body = TimelineQuery{b.has(ArgId::Request) ? b.text(ArgId::Request) : ""};
  }
};
template <> struct Action<grammar::AsJson> {
  static void apply0(StatementBuilder &b) { b.ParsedQuery.AsJson = true; }
};
template <> struct Action<grammar::CreateCustomer> {
  static void apply0(StatementBuilder &b) {
    b.RequestedChange =
        config::CreateCustomer{b.id<core::CustomerId>(ArgId::Name), b.number<uint64_t>(ArgId::Rate),
                               b.number<uint64_t>(ArgId::Burst), b.number<uint32_t>(ArgId::Weight)};
  }
};
template <> struct Action<grammar::UpdateCustomer> {
  static void apply0(StatementBuilder &b) {
    b.RequestedChange = config::UpdateCustomer{
        b.id<core::CustomerId>(ArgId::Name), b.optionalNumber<uint64_t>(ArgId::Rate),
        b.optionalNumber<uint64_t>(ArgId::Burst), b.optionalNumber<uint32_t>(ArgId::Weight)};
  }
};
template <> struct Action<grammar::CreateKey> {
  static void apply0(StatementBuilder &b) {
    b.RequestedChange =
        config::CreateKey{b.id<core::CustomerId>(ArgId::Owner), b.digest(ArgId::Digest)};
  }
};
template <> struct Action<grammar::WithdrawKey> {
  static void apply0(StatementBuilder &b) {
    b.RequestedChange = config::WithdrawKey{b.id<core::KeyId>(ArgId::Name)};
  }
};
template <> struct Action<grammar::CreateRoute> {
  static void apply0(StatementBuilder &b) {
    b.RequestedChange = config::CreateRoute{b.id<core::RouteId>(ArgId::Name), b.path(ArgId::Path),
                                            b.choice<config::RouteAccess>(ArgId::Access),
                                            b.choice<config::RouteSemantics>(ArgId::Semantics),
                                            b.duration(ArgId::Deadline)};
  }
};
template <> struct Action<grammar::DeleteRoute> {
  static void apply0(StatementBuilder &b) {
    b.RequestedChange = config::DeleteRoute{b.id<core::RouteId>(ArgId::Name)};
  }
};
template <> struct Action<grammar::DeleteTarget> {
  static void apply0(StatementBuilder &b) {
    b.RequestedChange = config::DeleteTarget{b.id<core::TargetId>(ArgId::Name)};
  }
};
template <> struct Action<grammar::AddTarget> {
  static void apply0(StatementBuilder &b) {
    b.RequestedChange =
        config::AddTarget{b.id<core::TargetId>(ArgId::Name),  b.id<core::RouteId>(ArgId::Route),
                          b.address(ArgId::Address),          b.id<core::VersionId>(ArgId::Version),
                          b.number<uint32_t>(ArgId::Slots),   b.id<core::RegionId>(ArgId::Region),
                          b.id<core::DomainId>(ArgId::Domain)};
  }
};
template <> struct Action<grammar::SetCap> {
  static void apply0(StatementBuilder &b) {
    b.RequestedChange = config::SetCap{b.id<config::CapId>(ArgId::Name), b.permille(ArgId::Percent),
                                       b.duration(ArgId::Period)};
  }
};
template <> struct Action<grammar::SetBlocks> {
  static void apply0(StatementBuilder &b) {
    b.RequestedChange =
        config::SetBlocks{b.blocks(ArgId::Blocks), b.id<core::RegionId>(ArgId::Region)};
  }
};
template <> struct Action<grammar::DeleteBlocks> {
  static void apply0(StatementBuilder &b) {
    b.RequestedChange = config::DeleteBlocks{b.blocks(ArgId::Blocks)};
  }
};
template <> struct Action<grammar::Drain> {
  static void apply0(StatementBuilder &b) {
    b.RequestedChange =
        config::StartDrain{b.choice<config::DrainKind>(ArgId::Kind), b.text(ArgId::Name),
                           b.has(ArgId::By) ? b.duration(ArgId::By) : core::Duration{}};
  }
};
template <> struct Action<grammar::Undrain> {
  static void apply0(StatementBuilder &b) {
    b.RequestedChange =
        config::CancelDrain{b.choice<config::DrainKind>(ArgId::Kind), b.text(ArgId::Name)};
  }
};
template <> struct Action<grammar::Shift> {
  static void apply0(StatementBuilder &b) {
    b.RequestedChange = config::StartShift{b.text(ArgId::From), b.text(ArgId::To),
                                           b.permille(ArgId::Percent), b.duration(ArgId::By)};
  }
};
template <> struct Action<grammar::Move> {
  static void apply0(StatementBuilder &b) {
    b.RequestedChange =
        config::StartMove{b.id<core::RouteId>(ArgId::Route), b.id<core::VersionId>(ArgId::Version),
                          b.duration(ArgId::By)};
  }
};
template <> struct Action<grammar::CancelMove> {
  static void apply0(StatementBuilder &b) {
    b.RequestedChange = config::CancelMove{b.id<core::MoveId>(ArgId::Name)};
  }
};

template <> struct Action<grammar::CommandBody> {
  static void apply0(StatementBuilder &b) { b.IsCommand = true; }
};

struct Messages {
  template <class Rule>
  static constexpr const char *message = // NOLINT(readability-identifier-naming): PEGTL's name
      grammar::ExpectedText<Rule>;
  /// Only a failure below `must` is an error; otherwise the parser tries the next alternative.
  template <class Rule>
  static constexpr bool raise_on_failure = // NOLINT(readability-identifier-naming): PEGTL's name
      false;
};

template <class Rule> using Control = pegtl::must_if<Messages, pegtl::normal, false>::control<Rule>;

/// Skips the blanks before a column: a failed rule rewinds to before them.
size_t skipBlanks(std::string_view text, size_t column) {
  size_t at = std::min(text.find_first_not_of(" \t", column - 1), text.size());
  return at + 1;
}

} // namespace

size_t errorColumn(const absl::Status &status) {
  absl::optional<absl::Cord> payload = status.GetPayload(ColumnPayload);
  size_t column = 0;
  if (payload && absl::SimpleAtoi(std::string(*payload), &column))
    return column;
  return 0;
}

absl::StatusOr<Statement> parse(std::string_view text) {
  if (text.size() > MaxStatementBytes)
    return errorAt(MaxStatementBytes + 1, concat("at most ", MaxStatementBytes, " bytes"));
  pegtl::memory_input<pegtl::tracking_mode::eager, pegtl::eol::lf> in(text.data(), text.size(),
                                                                      "statement");
  StatementBuilder builder;
  try {
    pegtl::parse<grammar::Grammar, Action, Control>(in, builder);
  } catch (const pegtl::parse_error &e) {
    size_t column = skipBlanks(text, e.positions().front().byte + 1);
    return errorAt(column, e.message());
  }
  if (!builder.Error.ok())
    return builder.Error;
  if (!builder.IsCommand)
    return builder.ParsedQuery;
  CommandStatement command{std::move(builder.RequestedChange), {}, ""};
  if (builder.has(ArgId::Expected))
    command.ExpectedVersion = core::ConfigVersion(builder.number<uint64_t>(ArgId::Expected));
  if (builder.has(ArgId::CommandId))
    command.Id = builder.text(ArgId::CommandId);
  if (!builder.Error.ok())
    return builder.Error;
  return command;
}

} // namespace briarspar::operator_language
