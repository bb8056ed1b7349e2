#include "Config/parser.h"

#include <tao/pegtl.hpp>

namespace buckthorncart {
namespace {

namespace pegtl = tao::pegtl;

// NOLINTBEGIN(readability-identifier-naming)
namespace grammar {

using namespace pegtl;  // NOLINT(google-build-using-namespace)

struct Comment : seq<one<'#'>, until<at<eolf>>> {};
struct Blank : sor<blank, Comment> {};
struct Separator : sor<eol, one<';'>> {};
struct SkippedText : star<sor<Blank, Separator>> {};
struct Whitespace : plus<blank> {};
struct NameCharacter : sor<alnum, one<'-', '_', '.'>> {};
struct Name : plus<NameCharacter> {};
struct Key : plus<NameCharacter> {};
struct BareValue : star<not_one<' ', '\t', '\r', '\n', ';', '#', '"'>> {};
struct QuotedText : star<not_one<'"', '\n'>> {};
struct QuotedValue : seq<one<'"'>, QuotedText, must<one<'"'>>> {};
struct Value : sor<QuotedValue, BareValue> {};
struct AssignmentRule : seq<Key, one<'='>, Value> {};
struct EndOfStatement : seq<star<blank>, at<sor<eolf, one<';', '#'>>>> {};

struct ActionKeyword
    : sor<TAO_PEGTL_KEYWORD("create"), TAO_PEGTL_KEYWORD("change"),
          TAO_PEGTL_KEYWORD("delete")> {};
struct KindKeyword
    : sor<TAO_PEGTL_KEYWORD("service"), TAO_PEGTL_KEYWORD("route"),
          TAO_PEGTL_KEYWORD("rule"), TAO_PEGTL_KEYWORD("workspace")> {};
struct Assignments : star<Whitespace, AssignmentRule> {};
struct EditRule : if_must<ActionKeyword, Whitespace, KindKeyword, Whitespace,
                          Name, Assignments, EndOfStatement> {};

struct SubjectKeyword
    : sor<TAO_PEGTL_KEYWORD("services"), TAO_PEGTL_KEYWORD("routes"),
          TAO_PEGTL_KEYWORD("rules"), TAO_PEGTL_KEYWORD("daemons"),
          TAO_PEGTL_KEYWORD("workspaces")> {};
struct Location : plus<not_one<' ', '\t', '\r', '\n', ';', '#'>> {};
struct FirstCondition : AssignmentRule {};
struct WhereClause
    : if_must<seq<Whitespace, TAO_PEGTL_KEYWORD("where")>, Whitespace,
              FirstCondition, star<seq<Whitespace, AssignmentRule>>> {};
struct AtClause
    : if_must<seq<Whitespace, TAO_PEGTL_KEYWORD("at")>, Whitespace, Location> {
};
struct ShowRule : if_must<TAO_PEGTL_KEYWORD("show"), Whitespace, SubjectKeyword,
                          opt<WhereClause>, opt<AtClause>, EndOfStatement> {};

struct ExpectedEdit : EditRule {};
struct ExpectedEnd : eof {};
struct MoreEdits : star<SkippedText, not_at<eof>, must<ExpectedEdit>> {};
struct ShowInput : seq<ShowRule, SkippedText, must<ExpectedEnd>> {};
struct EditInput
    : seq<must<ExpectedEdit>, MoreEdits, SkippedText, must<ExpectedEnd>> {};
struct Document : seq<SkippedText, sor<ShowInput, EditInput>> {};

}  // namespace grammar

template <typename Rule>
inline constexpr const char* kExpectedOf = "a valid statement";
template <>
inline constexpr const char* kExpectedOf<grammar::ExpectedEdit> =
    "create | change | delete | show";
template <>
inline constexpr const char* kExpectedOf<grammar::Whitespace> = "a space";
template <>
inline constexpr const char* kExpectedOf<grammar::KindKeyword> =
    "service | route | rule | workspace";
template <>
inline constexpr const char* kExpectedOf<grammar::Name> = "a name";
template <>
inline constexpr const char* kExpectedOf<grammar::EndOfStatement> =
    "KEY=VALUE or the end of the line";
template <>
inline constexpr const char* kExpectedOf<grammar::SubjectKeyword> =
    "services | routes | rules | daemons | workspaces";
template <>
inline constexpr const char* kExpectedOf<grammar::FirstCondition> = "KEY=VALUE";
template <>
inline constexpr const char* kExpectedOf<grammar::Location> =
    "a VM address or a data centre";
template <>
inline constexpr const char* kExpectedOf<pegtl::ascii::one<'"'>> =
    "a closing quote";
template <>
inline constexpr const char* kExpectedOf<grammar::ExpectedEnd> =
    "the end of the text";

/// Throws parse errors whose message says what was expected.
template <typename Rule>
struct Control : pegtl::normal<Rule> {
  template <typename Input, typename... States>
  [[noreturn]] static void raise(const Input& in, States&&... /*states*/) {
    throw pegtl::parse_error(kExpectedOf<Rule>, in);
  }
};

struct ParseState {
  std::vector<Edit> edits;
  ShowStatement show;
  bool is_show = false;
  EditAction action = EditAction::kCreate;
  ObjectKind kind = ObjectKind::kService;
  std::string name;
  std::string key;
  std::vector<Assignment> assignments;
};

template <typename Rule>
struct Action : pegtl::nothing<Rule> {};

template <>
struct Action<grammar::ActionKeyword> {
  template <typename Input>
  static void apply(const Input& in, ParseState& state) {
    state.action = *ParseEnum<EditAction>(in.string_view());
    state.assignments.clear();
  }
};

template <>
struct Action<grammar::KindKeyword> {
  template <typename Input>
  static void apply(const Input& in, ParseState& state) {
    state.kind = *ParseEnum<ObjectKind>(in.string_view());
  }
};

template <>
struct Action<grammar::Name> {
  template <typename Input>
  static void apply(const Input& in, ParseState& state) {
    state.name = in.string();
  }
};

template <>
struct Action<grammar::Key> {
  template <typename Input>
  static void apply(const Input& in, ParseState& state) {
    state.key = in.string();
  }
};

template <>
struct Action<grammar::BareValue> {
  template <typename Input>
  static void apply(const Input& in, ParseState& state) {
    state.assignments.push_back({state.key, in.string()});
  }
};

template <>
struct Action<grammar::QuotedText> {
  template <typename Input>
  static void apply(const Input& in, ParseState& state) {
    state.assignments.push_back({state.key, in.string()});
  }
};

template <>
struct Action<grammar::EditRule> {
  static void apply0(ParseState& state) {
    state.edits.push_back(
        {state.action, state.kind, state.name, std::move(state.assignments)});
    state.assignments.clear();
  }
};

template <>
struct Action<grammar::ExpectedEdit> : Action<grammar::EditRule> {};

template <>
struct Action<grammar::SubjectKeyword> {
  template <typename Input>
  static void apply(const Input& in, ParseState& state) {
    state.show.subject = *ParseEnum<ShowSubject>(in.string_view());
  }
};

template <>
struct Action<grammar::Location> {
  template <typename Input>
  static void apply(const Input& in, ParseState& state) {
    state.show.at = in.string();
  }
};

template <>
struct Action<grammar::ShowRule> {
  static void apply0(ParseState& state) {
    state.is_show = true;
    state.show.where = std::move(state.assignments);
  }
};
// NOLINTEND(readability-identifier-naming)

Statement ToStatement(ParseState state) {
  if (state.is_show) return std::move(state.show);
  return ChangeStatement{std::move(state.edits)};
}

}  // namespace

Result<Statement> ParseStatement(std::string_view text) {
  if (text.size() > kMaxStatementBytes) {
    return Fail(Errc::kTooLarge, "change",
                std::to_string(kMaxStatementBytes) + " bytes at most",
                "split the change");
  }
  pegtl::memory_input in(text.data(), text.size(), "statement");
  ParseState state;
  try {
    pegtl::parse<grammar::Document, Action, Control>(in, state);
  } catch (const pegtl::parse_error& error) {
    const auto& position = error.positions().front();
    return Fail(Errc::kSyntax,
                "line " + std::to_string(position.line) + ", column " +
                    std::to_string(position.column),
                std::string(error.message()), "correct the text");
  }
  return ToStatement(std::move(state));
}

}  // namespace buckthorncart
