#pragma once

#include <tao/pegtl.hpp>

#include <cstddef>

/// The grammar of the operator language as PEGTL rules. docs/LANGUAGE.md explains it.
namespace briarspar::operator_language::grammar {

namespace pegtl = tao::pegtl;

/// Text for error messages that says what a rule expects. Every rule below `must` has a
/// specialization.
template <class Rule> inline constexpr const char *ExpectedText = nullptr;

using Blanks = pegtl::star<pegtl::blank>;
using WordByte = pegtl::sor<pegtl::alnum, pegtl::one<'.', '_', '-'>>;
using WordEnd = pegtl::not_at<WordByte>;

/// The arguments that a statement can have.
enum class ArgId : size_t {
  Name,
  Owner,
  Kind,
  Path,
  Access,
  Semantics,
  Deadline,
  Address,
  Route,
  Version,
  Slots,
  Region,
  Blocks,
  Domain,
  Rate,
  Burst,
  Weight,
  Digest,
  Percent,
  Period,
  From,
  To,
  By,
  Request,
  Expected,
  CommandId,
  Count,
};

/// A rule whose text the parser stores as the argument S.
template <ArgId S, class Text> struct Arg : pegtl::seq<Blanks, Text> {};

#define BRIARSPAR_KEYWORD(Name, Text)                                                              \
  struct Name : pegtl::seq<Blanks, TAO_PEGTL_STRING(Text), WordEnd> {};                            \
  template <> inline constexpr const char *ExpectedText<Name> = "'" Text "'";

BRIARSPAR_KEYWORD(KwAdd, "add")
BRIARSPAR_KEYWORD(KwAddress, "address")
BRIARSPAR_KEYWORD(KwAs, "as")
BRIARSPAR_KEYWORD(KwBlock, "block")
BRIARSPAR_KEYWORD(KwBurst, "burst")
BRIARSPAR_KEYWORD(KwBy, "by")
BRIARSPAR_KEYWORD(KwCancel, "cancel")
BRIARSPAR_KEYWORD(KwCap, "cap")
BRIARSPAR_KEYWORD(KwCreate, "create")
BRIARSPAR_KEYWORD(KwCustomer, "customer")
BRIARSPAR_KEYWORD(KwDeadline, "deadline")
BRIARSPAR_KEYWORD(KwDelete, "delete")
BRIARSPAR_KEYWORD(KwDigest, "digest")
BRIARSPAR_KEYWORD(KwDomain, "domain")
BRIARSPAR_KEYWORD(KwDrain, "drain")
BRIARSPAR_KEYWORD(KwExpect, "expect")
BRIARSPAR_KEYWORD(KwFor, "for")
BRIARSPAR_KEYWORD(KwId, "id")
BRIARSPAR_KEYWORD(KwJson, "json")
BRIARSPAR_KEYWORD(KwKey, "key")
BRIARSPAR_KEYWORD(KwMove, "move")
BRIARSPAR_KEYWORD(KwPath, "path")
BRIARSPAR_KEYWORD(KwPer, "per")
BRIARSPAR_KEYWORD(KwRate, "rate")
BRIARSPAR_KEYWORD(KwRegion, "region")
BRIARSPAR_KEYWORD(KwRequest, "request")
BRIARSPAR_KEYWORD(KwRoute, "route")
BRIARSPAR_KEYWORD(KwSet, "set")
BRIARSPAR_KEYWORD(KwShift, "shift")
BRIARSPAR_KEYWORD(KwShow, "show")
BRIARSPAR_KEYWORD(KwSlots, "slots")
BRIARSPAR_KEYWORD(KwTarget, "target")
BRIARSPAR_KEYWORD(KwTimeline, "timeline")
BRIARSPAR_KEYWORD(KwTo, "to")
BRIARSPAR_KEYWORD(KwUndrain, "undrain")
BRIARSPAR_KEYWORD(KwUpdate, "update")
BRIARSPAR_KEYWORD(KwVersion, "version")
BRIARSPAR_KEYWORD(KwWatch, "watch")
BRIARSPAR_KEYWORD(KwWeight, "weight")
BRIARSPAR_KEYWORD(KwWithdraw, "withdraw")
#undef BRIARSPAR_KEYWORD

// clang-format off
template <class... Words> using OneOf = pegtl::seq<pegtl::sor<Words...>, WordEnd>;

using Word = pegtl::seq<pegtl::alnum, pegtl::star<WordByte>>;
using Number = pegtl::seq<pegtl::plus<pegtl::digit>, WordEnd>;
using Unit = pegtl::sor<TAO_PEGTL_STRING("ms"), pegtl::one<'s', 'm', 'h', 'd'>>;
using DurationText = pegtl::seq<pegtl::plus<pegtl::digit>, Unit, WordEnd>;
using PercentText = pegtl::seq<pegtl::plus<pegtl::digit>,
                         pegtl::opt<pegtl::one<'.'>, pegtl::digit>,
                         pegtl::opt<pegtl::one<'%'>>, WordEnd>;
using AddressText = pegtl::plus<pegtl::sor<pegtl::xdigit, pegtl::one<'.', ':', '[', ']'>>>;
using PathText = pegtl::seq<pegtl::one<'/'>, pegtl::star<pegtl::range<'!', '~'>>>;
using PrintableText = pegtl::plus<pegtl::range<'!', '~'>>;
using BlockList = pegtl::plus<pegtl::sor<pegtl::digit, pegtl::one<'.', '/', ','>>>;
using DigestText = pegtl::seq<pegtl::rep<64, pegtl::xdigit>, WordEnd>;

using DrainKindText = OneOf<TAO_PEGTL_STRING("target"), TAO_PEGTL_STRING("vm"),
                            TAO_PEGTL_STRING("domain"), TAO_PEGTL_STRING("region")>;
using CollectionText = OneOf<TAO_PEGTL_STRING("customers"), TAO_PEGTL_STRING("keys"),
                             TAO_PEGTL_STRING("routes"), TAO_PEGTL_STRING("targets"),
                             TAO_PEGTL_STRING("vms"), TAO_PEGTL_STRING("moves"),
                             TAO_PEGTL_STRING("drains"), TAO_PEGTL_STRING("caps"),
                             TAO_PEGTL_STRING("blocks"),
                             TAO_PEGTL_STRING("version")>;

using Name = Arg<ArgId::Name, Word>;
using Owner = Arg<ArgId::Owner, Word>;
using DrainedKind = Arg<ArgId::Kind, DrainKindText>;
using ListedCollection = Arg<ArgId::Kind, CollectionText>;
using Path = Arg<ArgId::Path, PathText>;
using Access = Arg<ArgId::Access, OneOf<TAO_PEGTL_STRING("open"), TAO_PEGTL_STRING("keyed")>>;
using Semantics =
    Arg<ArgId::Semantics, OneOf<TAO_PEGTL_STRING("idempotent"), TAO_PEGTL_STRING("once")>>;
using Deadline = Arg<ArgId::Deadline, DurationText>;
using Address = Arg<ArgId::Address, AddressText>;
using Route = Arg<ArgId::Route, Word>;
using Version = Arg<ArgId::Version, Word>;
using Slots = Arg<ArgId::Slots, Number>;
using Region = Arg<ArgId::Region, Word>;
using Blocks = Arg<ArgId::Blocks, BlockList>;
using Domain = Arg<ArgId::Domain, Word>;
using Rate = Arg<ArgId::Rate, Number>;
using Burst = Arg<ArgId::Burst, Number>;
using Weight = Arg<ArgId::Weight, Number>;
using Digest = Arg<ArgId::Digest, DigestText>;
using Percent = Arg<ArgId::Percent, PercentText>;
using Period = Arg<ArgId::Period, DurationText>;
using From = Arg<ArgId::From, Word>;
using To = Arg<ArgId::To, Word>;
using By = Arg<ArgId::By, DurationText>;
using Request = Arg<ArgId::Request, PrintableText>;
using Expected = Arg<ArgId::Expected, Number>;
using CommandId = Arg<ArgId::CommandId, Word>;

#define BRIARSPAR_EXPECT(Rule, Text) \
  template <> inline constexpr const char *ExpectedText<Rule> = Text;

BRIARSPAR_EXPECT(Name, "a name")
BRIARSPAR_EXPECT(Owner, "the name of a customer")
BRIARSPAR_EXPECT(DrainedKind, "'target', 'vm', 'domain' or 'region'")
BRIARSPAR_EXPECT(ListedCollection, "'customers', 'keys', 'routes', 'targets', 'vms', 'moves', 'drains', "
                         "'caps', 'blocks' or 'version'")
BRIARSPAR_EXPECT(Path, "a path prefix such as /orders")
BRIARSPAR_EXPECT(Access, "'open' or 'keyed'")
BRIARSPAR_EXPECT(Semantics, "'idempotent' or 'once'")
BRIARSPAR_EXPECT(Deadline, "a duration such as 500ms, 30s, 10m, 2h or 1d")
BRIARSPAR_EXPECT(Period, "a duration such as 500ms, 30s, 10m, 2h or 1d")
BRIARSPAR_EXPECT(By, "a duration such as 500ms, 30s, 10m, 2h or 1d")
BRIARSPAR_EXPECT(Address, "an address IP:PORT")
BRIARSPAR_EXPECT(Route, "the name of a route")
BRIARSPAR_EXPECT(Version, "the name of a version")
BRIARSPAR_EXPECT(Slots, "a number")
BRIARSPAR_EXPECT(Rate, "a number")
BRIARSPAR_EXPECT(Burst, "a number")
BRIARSPAR_EXPECT(Weight, "a number")
BRIARSPAR_EXPECT(Expected, "a version number")
BRIARSPAR_EXPECT(Region, "the name of a region")
BRIARSPAR_EXPECT(Domain, "the name of a domain")
BRIARSPAR_EXPECT(Blocks, "IPv4 prefixes such as 10.1.0.0/16, separated by commas")
BRIARSPAR_EXPECT(Digest, "64 hexadecimal digits")
BRIARSPAR_EXPECT(Percent, "a percentage such as 10% or 2.5%")
BRIARSPAR_EXPECT(From, "the name of a region or domain")
BRIARSPAR_EXPECT(To, "the name of a region or domain")
BRIARSPAR_EXPECT(Request, "a request id")
BRIARSPAR_EXPECT(CommandId, "a command id")

// One rule for each statement. Parser.cpp has an action for each rule that builds the result.
using pegtl::if_must;
using pegtl::opt;
using pegtl::sor;

struct Show : if_must<KwShow, ListedCollection> {};
struct Watch : if_must<KwWatch, KwMove, Name> {};
struct Timeline : pegtl::seq<KwTimeline, opt<if_must<KwRequest, Request>>> {};

struct CreateCustomer
    : if_must<KwCustomer, Name, KwRate, Rate, KwBurst, Burst, KwWeight, Weight> {};
struct CreateKey : if_must<KwKey, KwFor, Owner, opt<if_must<KwDigest, Digest>>> {};
struct CreateRoute
    : if_must<KwRoute, Name, KwPath, Path, Access, Semantics, KwDeadline, Deadline> {};
struct CreateBody : sor<CreateCustomer, CreateKey, CreateRoute> {};
BRIARSPAR_EXPECT(CreateBody, "'customer', 'key' or 'route'")

struct CustomerLimit
    : sor<if_must<KwRate, Rate>, if_must<KwBurst, Burst>, if_must<KwWeight, Weight>> {};
BRIARSPAR_EXPECT(CustomerLimit, "'rate', 'burst' or 'weight'")
struct UpdateCustomer
    : if_must<KwUpdate, KwCustomer, Name, CustomerLimit, pegtl::star<CustomerLimit>> {};

struct WithdrawKey : if_must<KwWithdraw, KwKey, Name> {};
struct DeleteRoute : if_must<KwRoute, Name> {};
struct DeleteTarget : if_must<KwTarget, Name> {};
struct DeleteBlocks : if_must<KwBlock, Blocks> {};
struct DeleteBody : sor<DeleteRoute, DeleteTarget, DeleteBlocks> {};
BRIARSPAR_EXPECT(DeleteBody, "'route', 'target' or 'block'")

struct AddTarget
    : if_must<KwAdd, KwTarget, Name, KwAddress, Address, KwRoute, Route, KwVersion, Version,
              KwSlots, Slots, KwRegion, Region, KwDomain, Domain> {};
struct SetCap : if_must<KwCap, Name, Percent, KwPer, Period> {};
struct SetBlocks : if_must<KwBlock, Blocks, KwRegion, Region> {};
struct SetBody : sor<SetCap, SetBlocks> {};
BRIARSPAR_EXPECT(SetBody, "'cap' or 'block'")
struct Drain : if_must<KwDrain, DrainedKind, Name, opt<if_must<KwBy, By>>> {};
struct Undrain : if_must<KwUndrain, DrainedKind, Name> {};
struct Shift : if_must<KwShift, From, KwTo, To, Percent, KwBy, By> {};
struct Move : if_must<KwMove, KwRoute, Route, KwTo, KwVersion, Version, KwBy, By> {};
struct CancelMove : if_must<KwCancel, KwMove, Name> {};

struct AsJson : if_must<KwAs, KwJson> {};
struct QueryEnd : pegtl::seq<Blanks, pegtl::eof> {};
BRIARSPAR_EXPECT(QueryEnd, "'as json' or the end of the statement")
struct QueryStatement
    : pegtl::seq<sor<Show, Timeline, Watch>, opt<AsJson>, pegtl::must<QueryEnd>> {};

struct CommandBody : sor<if_must<KwCreate, CreateBody>, UpdateCustomer, WithdrawKey,
                         if_must<KwDelete, DeleteBody>, AddTarget, if_must<KwSet, SetBody>, Drain, Undrain, Shift,
                         Move, CancelMove> {};
struct CommandOption : sor<if_must<KwExpect, Expected>, if_must<KwId, CommandId>> {};
struct CommandEnd : pegtl::seq<Blanks, pegtl::eof> {};
BRIARSPAR_EXPECT(CommandEnd, "'expect N', 'id COMMAND-ID' or the end of the statement")
struct Command : pegtl::seq<CommandBody, pegtl::star<CommandOption>, pegtl::must<CommandEnd>> {};

struct AnyStatement : sor<QueryStatement, Command> {};
BRIARSPAR_EXPECT(AnyStatement, "'show', 'create', 'update', 'withdraw', 'delete', 'add', 'set', "
                               "'drain', 'undrain', 'shift', 'move', 'cancel', 'watch' or "
                               "'timeline'")
struct Grammar : pegtl::must<AnyStatement> {};
#undef BRIARSPAR_EXPECT
// clang-format on

} // namespace briarspar::operator_language::grammar
