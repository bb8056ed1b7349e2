#include "Config/parser.h"

#include <doctest/doctest.h>

namespace buckthorncart {
namespace {

std::vector<Edit> ParseEdits(std::string_view text) {
  const auto statement = ParseStatement(text);
  REQUIRE(statement);
  const auto* change = std::get_if<ChangeStatement>(&*statement);
  REQUIRE(change != nullptr);
  return change->edits;
}

TEST_CASE("parser: edits on lines and after semicolons form one change") {
  const auto edits = ParseEdits(
      "# spring stock\n"
      "create service catalogus; create route proofs path=/proofs "
      "service=catalogus # shown first\n\n"
      "delete rule old\n");
  REQUIRE(edits.size() == 3);
  CHECK(edits[1].assignments ==
        std::vector<Assignment>{{"path", "/proofs"}, {"service", "catalogus"}});
  CHECK(edits[2].action == EditAction::kDelete);
}

TEST_CASE("parser: a quoted value may hold spaces") {
  const auto edits = ParseEdits("change route r path=\"/a b\"");
  CHECK(edits[0].assignments[0].value == "/a b");
}

TEST_CASE("parser: show with conditions and a location") {
  const auto statement =
      ParseStatement("show routes where service=catalogus at nl-west-a");
  REQUIRE(statement);
  const auto* show = std::get_if<ShowStatement>(&*statement);
  REQUIRE(show != nullptr);
  CHECK(show->subject == ShowSubject::kRoutes);
  CHECK(show->where == std::vector<Assignment>{{"service", "catalogus"}});
  CHECK(show->at == "nl-west-a");
}

TEST_CASE("parser: syntax errors give line, column and what was expected") {
  const std::pair<const char*, const char*> invalid_texts[] = {
      {"crate service x", "line 1, column 1"},
      {"create service x\ncreate rout y", "line 2, column 8"},
      {"create service", "line 1, column 15"},
      {"create service x y", "line 1, column 18"},
      {"change route r path=\"/a", "line 1, column 24"},
      {"", "line 1, column 1"}};
  for (const auto& invalid : invalid_texts) {
    const auto statement = ParseStatement(invalid.first);
    REQUIRE(!statement);
    CHECK(statement.error().code == Errc::kSyntax);
    CHECK_MESSAGE(statement.error().subject == invalid.second, invalid.first);
    CHECK(!statement.error().expected.empty());
  }
}

TEST_CASE("parser: a text over the size limit is rejected") {
  const auto statement =
      ParseStatement(std::string(kMaxStatementBytes + 1, ' '));
  REQUIRE(!statement);
  CHECK(statement.error().code == Errc::kTooLarge);
}

}  // namespace
}  // namespace buckthorncart
