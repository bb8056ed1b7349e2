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
struct Skip : star<sor<Blank, Separator>> {};
struct Gap : plus<blank> {};
struct WordCharacter : sor<alnum, one<'-', '_', '.'>> {};
struct Name : plus<WordCharacter> {};
struct Key : plus<WordCharacter> {};
struct BareValue : star<not_one<' ', '\t', '\r', '\n', ';', '#', '"'>> {};
struct QuotedText : star<not_one<'"', '\n'>> {};
struct QuotedValue : seq<one<'"'>, QuotedText, must<one<'"'>>> {};
struct Value : sor<QuotedValue, BareValue> {};
struct AssignmentRule : seq<Key, one<'='>, Value> {};
struct EndOfStatement : seq<star<blank>, at<sor<eolf, one<';', '#'>>>> {};

struct ActionWord
    : sor<TAO_PEGTL_KEYWORD("create"), TAO_PEGTL_KEYWORD("change"),
          TAO_PEGTL_KEYWORD("delete")> {};
struct KindWord : sor<TAO_PEGTL_KEYWORD("service"), TAO_PEGTL_KEYWORD("route"),
                      TAO_PEGTL_KEYWORD("rule")> {};
struct Assignments : star<Gap, AssignmentRule> {};
struct EditRule : if_must<ActionWord, Gap, KindWord, Gap, Name, Assignments,
                          EndOfStatement> {};

struct SubjectWord
    : sor<TAO_PEGTL_KEYWORD("services"), TAO_PEGTL_KEYWORD("routes"),
          TAO_PEGTL_KEYWORD("rules"), TAO_PEGTL_KEYWORD("daemons")> {};
struct Place : plus<not_one<' ', '\t', '\r', '\n', ';', '#'>> {};
struct FirstCondition : AssignmentRule {};
struct Where : if_must<seq<Gap, TAO_PEGTL_KEYWORD("where")>, Gap,
                       FirstCondition, star<seq<Gap, AssignmentRule>>> {};
struct At : if_must<seq<Gap, TAO_PEGTL_KEYWORD("at")>, Gap, Place> {};
struct ShowRule : if_must<TAO_PEGTL_KEYWORD("show"), Gap, SubjectWord,
                          opt<Where>, opt<At>, EndOfStatement> {};

struct ExpectedEdit : EditRule {};
struct ExpectedEnd : eof {};
struct MoreEdits : star<Skip, not_at<eof>, must<ExpectedEdit>> {};
struct ShowText : seq<ShowRule, Skip, must<ExpectedEnd>> {};
struct EditText : seq<must<ExpectedEdit>, MoreEdits, Skip, must<ExpectedEnd>> {
};
struct Text : seq<Skip, sor<ShowText, EditText>> {};

}  // namespace grammar

template <typename Rule>
inline constexpr const char* kExpectedOf = "a valid statement";
template <>
inline constexpr const char* kExpectedOf<grammar::ExpectedEdit> =
    "create | change | delete | show";
template <>
inline constexpr const char* kExpectedOf<grammar::Gap> = "a space";
template <>
inline constexpr const char* kExpectedOf<grammar::KindWord> =
    "service | route | rule";
template <>
inline constexpr const char* kExpectedOf<grammar::Name> = "a name";
template <>
inline constexpr const char* kExpectedOf<grammar::EndOfStatement> =
    "KEY=VALUE or the end of the line";
template <>
inline constexpr const char* kExpectedOf<grammar::SubjectWord> =
    "services | routes | rules | daemons";
template <>
inline constexpr const char* kExpectedOf<grammar::FirstCondition> = "KEY=VALUE";
template <>
inline constexpr const char* kExpectedOf<grammar::Place> =
    "a VM address or a data centre";
template <>
inline constexpr const char* kExpectedOf<pegtl::ascii::one<'"'>> =
    "a closing quote";
template <>
inline constexpr const char* kExpectedOf<grammar::ExpectedEnd> =
    "the end of the text";

/// Raises parse errors that carry what was expected.
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
struct Action<grammar::ActionWord> {
  template <typename Input>
  static void apply(const Input& in, ParseState& state) {
    state.action = *ParseEnum<EditAction>(in.string_view());
    state.assignments.clear();
  }
};

template <>
struct Action<grammar::KindWord> {
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
struct Action<grammar::SubjectWord> {
  template <typename Input>
  static void apply(const Input& in, ParseState& state) {
    state.show.subject = *ParseEnum<ShowSubject>(in.string_view());
  }
};

template <>
struct Action<grammar::Place> {
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
    pegtl::parse<grammar::Text, Action, Control>(in, state);
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
