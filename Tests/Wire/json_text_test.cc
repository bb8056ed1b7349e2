#include "Base/json_text.h"

#include <doctest/doctest.h>

#include <string>

namespace buckthorncart {
namespace {

using nlohmann::json;

TEST_CASE("json: bytes that are not UTF-8 are replaced when writing") {
  const json object = {{"id", "i-\xff\xfe"}, {"\xff", json::array({"\xed"})}};
  CHECK(json::parse(FormatJson(object))["id"] == "i-\uFFFD\uFFFD");
}

TEST_CASE("json: deep, long and wide texts are not parsed") {
  const std::string deep(10'000'000, '[');
  CHECK(ParseJson(deep).is_discarded());
  CHECK(ParseJson(std::string(33, '[') + std::string(33, ']')).is_discarded());
  CHECK(!ParseJson(std::string(32, '[') + std::string(32, ']')).is_discarded());
  const JsonLimits small{20, 4, 5};
  CHECK(ParseJson("[1,2,3,4,5,6]", small).is_discarded());
  CHECK(!ParseJson("[1,2,3]", small).is_discarded());
  CHECK(ParseJson("\"" + std::string(20, 'x') + "\"", small).is_discarded());
}

TEST_CASE("json: brackets and commas in texts do not count") {
  const JsonLimits small{100, 1, 2};
  CHECK(!ParseJson(R"(["[[,,\"[[,,"])", small).is_discarded());
}

TEST_CASE("json: numbers out of range are not parsed") {
  CHECK(ParseJson("[1e999]").is_discarded());
  CHECK(ParseJson("18446744073709551616").is_number_float());
}

}  // namespace
}  // namespace buckthorncart
