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
using grammar::Slot;
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

/// What the rules of one statement have collected.
class Builder {
public:
  void store(Slot slot, std::string text, size_t column) {
    std::optional<Value> &value = Values[static_cast<size_t>(slot)];
    if (value)
      fail(column, "each option once");
    value = Value{std::move(text), column};
  }

  bool has(Slot slot) const { return Values[static_cast<size_t>(slot)].has_value(); }
  const std::string &text(Slot slot) const { return value(slot).Text; }

  template <class Id> Id id(Slot slot) const { return Id(text(slot)); }

  template <class E> E choice(Slot slot) const { return *config::enumFromName<E>(text(slot)); }

  template <class N> N number(Slot slot) {
    uint64_t n = 0;
    if (!absl::SimpleAtoi(text(slot), &n) || n > std::numeric_limits<N>::max())
      fail(value(slot).Column,
           concat("a number up to ", static_cast<uint64_t>(std::numeric_limits<N>::max())));
    return static_cast<N>(n);
  }

  template <class N> std::optional<N> optionalNumber(Slot slot) {
    return has(slot) ? std::optional<N>(number<N>(slot)) : std::nullopt;
  }

  core::Duration duration(Slot slot) {
    constexpr int64_t maxMs = int64_t{366} * 24 * 3600 * 1000;
    const std::string &written = text(slot);
    size_t unitAt = written.find_first_not_of("0123456789");
    std::string_view unit = std::string_view(written).substr(unitAt);
    int64_t n = 0;
    int64_t scale = unit == "ms"  ? 1
                    : unit == "s" ? 1000
                    : unit == "m" ? 60'000
                    : unit == "h" ? 3'600'000
                                  : 86'400'000;
    if (!absl::SimpleAtoi(written.substr(0, unitAt), &n) || n < 1 || n > maxMs / scale) {
      fail(value(slot).Column, "a duration from 1ms to 366d");
      return {};
    }
    return {n * scale};
  }

  /// Thousandths of a percentage with at most one decimal.
  uint32_t permille(Slot slot) {
    std::string written = text(slot);
    if (written.back() == '%')
      written.pop_back();
    size_t point = written.find('.');
    written = point == std::string::npos ? written + "0"
                                         : written.substr(0, point) + written.substr(point + 1);
    uint32_t n = 0;
    if (!absl::SimpleAtoi(written, &n) || n < 1 || n > 1000)
      fail(value(slot).Column, "a percentage from 0.1% to 100%");
    return n;
  }

  std::string address(Slot slot) {
    if (!config::checkAddress("address", text(slot)).empty())
      fail(value(slot).Column, "an address IP:PORT");
    return text(slot);
  }

  std::string path(Slot slot) {
    if (!config::checkPathPrefix(text(slot)).empty())
      fail(value(slot).Column, "a path prefix without '?', '#' and '%'");
    return text(slot);
  }

  std::vector<config::BlockId> blocks(Slot slot) {
    std::vector<config::BlockId> out;
    std::string_view rest = text(slot);
    size_t column = value(slot).Column;
    while (true) {
      std::string_view one = rest.substr(0, rest.find(','));
      if (!config::checkBlock(one).empty())
        fail(column, "an IPv4 prefix such as 10.1.0.0/16");
      out.emplace_back(std::string(one));
      if (one.size() == rest.size())
        return out;
      rest.remove_prefix(one.size() + 1);
      column += one.size() + 1;
    }
  }

  config::KeyDigest digest(Slot slot) const {
    config::KeyDigest out{};
    if (!has(slot))
      return out;
    for (size_t n = 0; n < out.size(); ++n)
      out[n] = static_cast<uint8_t>(std::stoul(text(slot).substr(2 * n, 2), nullptr, 16));
    return out;
  }

  /// Records the first error.
  void fail(size_t column, std::string_view expected) {
    if (Error.ok())
      Error = errorAt(column, expected);
  }

  config::Change RequestedChange;
  Query Asked;
  bool IsCommand = false;
  absl::Status Error;

private:
  const Value &value(Slot slot) const { return *Values[static_cast<size_t>(slot)]; }

  std::array<std::optional<Value>, static_cast<size_t>(Slot::Count)> Values;
};

template <class Rule> struct Action : pegtl::nothing<Rule> {};

template <Slot S, class Text> struct Action<grammar::Arg<S, Text>> {
  template <class Input> static void apply(const Input &in, Builder &b) {
    std::string text = in.string();
    size_t blanks = text.find_first_not_of(" \t");
    b.store(S, text.substr(blanks), in.position().byte + 1 + blanks);
  }
};

template <> struct Action<grammar::Show> {
  static void apply0(Builder &b) { b.Asked.Body = ShowQuery{b.choice<Collection>(Slot::Kind)}; }
};
template <> struct Action<grammar::Watch> {
  static void apply0(Builder &b) { b.Asked.Body = WatchQuery{b.id<core::MoveId>(Slot::Name)}; }
};
template <> struct Action<grammar::Timeline> {
  static void apply0(Builder &b) {
    b.Asked.Body = TimelineQuery{b.has(Slot::Request) ? b.text(Slot::Request) : ""};
  }
};
template <> struct Action<grammar::AsJson> {
  static void apply0(Builder &b) { b.Asked.AsJson = true; }
};
template <> struct Action<grammar::CreateCustomer> {
  static void apply0(Builder &b) {
    b.RequestedChange =
        config::CreateCustomer{b.id<core::CustomerId>(Slot::Name), b.number<uint64_t>(Slot::Rate),
                               b.number<uint64_t>(Slot::Burst), b.number<uint32_t>(Slot::Weight)};
  }
};
template <> struct Action<grammar::UpdateCustomer> {
  static void apply0(Builder &b) {
    b.RequestedChange = config::UpdateCustomer{
        b.id<core::CustomerId>(Slot::Name), b.optionalNumber<uint64_t>(Slot::Rate),
        b.optionalNumber<uint64_t>(Slot::Burst), b.optionalNumber<uint32_t>(Slot::Weight)};
  }
};
template <> struct Action<grammar::CreateKey> {
  static void apply0(Builder &b) {
    b.RequestedChange =
        config::CreateKey{b.id<core::CustomerId>(Slot::Owner), b.digest(Slot::Digest)};
  }
};
template <> struct Action<grammar::WithdrawKey> {
  static void apply0(Builder &b) {
    b.RequestedChange = config::WithdrawKey{b.id<core::KeyId>(Slot::Name)};
  }
};
template <> struct Action<grammar::CreateRoute> {
  static void apply0(Builder &b) {
    b.RequestedChange = config::CreateRoute{b.id<core::RouteId>(Slot::Name), b.path(Slot::Path),
                                            b.choice<config::RouteAccess>(Slot::Access),
                                            b.choice<config::RouteSemantics>(Slot::Semantics),
                                            b.duration(Slot::Deadline)};
  }
};
template <> struct Action<grammar::DeleteRoute> {
  static void apply0(Builder &b) {
    b.RequestedChange = config::DeleteRoute{b.id<core::RouteId>(Slot::Name)};
  }
};
template <> struct Action<grammar::DeleteTarget> {
  static void apply0(Builder &b) {
    b.RequestedChange = config::DeleteTarget{b.id<core::TargetId>(Slot::Name)};
  }
};
template <> struct Action<grammar::AddTarget> {
  static void apply0(Builder &b) {
    b.RequestedChange =
        config::AddTarget{b.id<core::TargetId>(Slot::Name),  b.id<core::RouteId>(Slot::Route),
                          b.address(Slot::Address),          b.id<core::VersionId>(Slot::Version),
                          b.number<uint32_t>(Slot::Slots),   b.id<core::RegionId>(Slot::Region),
                          b.id<core::DomainId>(Slot::Domain)};
  }
};
template <> struct Action<grammar::SetCap> {
  static void apply0(Builder &b) {
    b.RequestedChange = config::SetCap{b.id<config::CapId>(Slot::Name), b.permille(Slot::Percent),
                                       b.duration(Slot::Period)};
  }
};
template <> struct Action<grammar::SetBlocks> {
  static void apply0(Builder &b) {
    b.RequestedChange =
        config::SetBlocks{b.blocks(Slot::Blocks), b.id<core::RegionId>(Slot::Region)};
  }
};
template <> struct Action<grammar::DeleteBlocks> {
  static void apply0(Builder &b) {
    b.RequestedChange = config::DeleteBlocks{b.blocks(Slot::Blocks)};
  }
};
template <> struct Action<grammar::Drain> {
  static void apply0(Builder &b) {
    b.RequestedChange =
        config::StartDrain{b.choice<config::DrainKind>(Slot::Kind), b.text(Slot::Name),
                           b.has(Slot::By) ? b.duration(Slot::By) : core::Duration{}};
  }
};
template <> struct Action<grammar::Undrain> {
  static void apply0(Builder &b) {
    b.RequestedChange =
        config::CancelDrain{b.choice<config::DrainKind>(Slot::Kind), b.text(Slot::Name)};
  }
};
template <> struct Action<grammar::Shift> {
  static void apply0(Builder &b) {
    b.RequestedChange = config::StartShift{b.text(Slot::From), b.text(Slot::To),
                                           b.permille(Slot::Percent), b.duration(Slot::By)};
  }
};
template <> struct Action<grammar::Move> {
  static void apply0(Builder &b) {
    b.RequestedChange =
        config::StartMove{b.id<core::RouteId>(Slot::Route), b.id<core::VersionId>(Slot::Version),
                          b.duration(Slot::By)};
  }
};
template <> struct Action<grammar::CancelMove> {
  static void apply0(Builder &b) {
    b.RequestedChange = config::CancelMove{b.id<core::MoveId>(Slot::Name)};
  }
};

template <> struct Action<grammar::CommandBody> {
  static void apply0(Builder &b) { b.IsCommand = true; }
};

struct Messages {
  template <class Rule>
  static constexpr const char *message = // NOLINT(readability-identifier-naming): PEGTL's name
      grammar::ExpectedText<Rule>;
  /// Only a failure below `must` is an error; elsewhere the next alternative is tried.
  template <class Rule>
  static constexpr bool raise_on_failure = // NOLINT(readability-identifier-naming): PEGTL's name
      false;
};

template <class Rule> using Control = pegtl::must_if<Messages, pegtl::normal, false>::control<Rule>;

/// Moves a column past the blanks that a failed rule stepped back over.
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
  Builder builder;
  try {
    pegtl::parse<grammar::Grammar, Action, Control>(in, builder);
  } catch (const pegtl::parse_error &e) {
    size_t column = skipBlanks(text, e.positions().front().byte + 1);
    return errorAt(column, e.message());
  }
  if (!builder.Error.ok())
    return builder.Error;
  if (!builder.IsCommand)
    return builder.Asked;
  CommandStatement command{std::move(builder.RequestedChange), {}, ""};
  if (builder.has(Slot::Expected))
    command.ExpectedVersion = core::ConfigVersion(builder.number<uint64_t>(Slot::Expected));
  if (builder.has(Slot::CommandId))
    command.Id = builder.text(Slot::CommandId);
  if (!builder.Error.ok())
    return builder.Error;
  return command;
}

} // namespace briarspar::operator_language
