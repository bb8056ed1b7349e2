#include "platform/configuration_parser.h"

#include <doctest/doctest.h>

#include <string>

namespace buckthorncart::platform {
namespace {

Result<Snapshot> ParseConfigurationDocument(std::string_view text) {
  return ConfigurationParser().Parse(text);
}

constexpr std::string_view kDocument = R"({"version":7,"routes":[
 {"name":"r1","host":"h.example","prefix":"/l/","kind":"safe","timeoutS":1,
  "targetLatencyS":0.5,"priority":2,"maxAttempts":2,"later":{"x":1},
  "trafficSplit":[{"service":"a","weight":90},{"service":"b","weight":10}]},
 {"name":"r2","host":"h.example","prefix":"/x/y/","kind":"unsafe",
  "timeoutS":1.2,"service":"a"}],
 "services":[{"name":"a","healthPath":"/health","maxConnections":130},
  {"name":"b"}],"limits":{"idleTimeoutS":15},"baseVersion":5})";

TEST_CASE(
    "configuration document: fields are converted to configuration objects") {
  const auto snapshot = ParseConfigurationDocument(kDocument);
  REQUIRE(snapshot);
  CHECK(snapshot->version == 7);
  const Configuration& configuration = snapshot->configuration;
  CHECK(configuration.Validate().empty());
  const Route& safe = configuration.routes.at("r1");
  CHECK(safe.repeatable);
  CHECK(safe.timeout_ms == 1'000);
  CHECK(safe.target_latency_ms == 500);
  CHECK(safe.max_attempts == 2);
  CHECK(safe.split[0] == WeightedService{"a", 90});
  const Route& non_repeatable = configuration.routes.at("r2");
  CHECK_FALSE(non_repeatable.repeatable);
  CHECK_FALSE(non_repeatable.deduplicates_by_key);
  CHECK(non_repeatable.timeout_ms == 1'200);
  CHECK(configuration.FindRoute("h.example:80", "/x/y/z")->name == "r2");
  CHECK(configuration.FindRoute("other.example", "/x/y/z") == nullptr);
}

TEST_CASE(
    "configuration document: a reused parser gives the same as a new one") {
  ConfigurationParser parser;
  std::string text(kDocument);
  REQUIRE(parser.Parse(text));
  text.replace(text.find("\"timeoutS\":1.2"), 14, "\"timeoutS\":9.9");
  text.replace(text.find("\"version\":7"), 11, "\"version\":8");
  const auto changed = parser.Parse(text);
  REQUIRE(changed);
  CHECK(changed->configuration ==
        ParseConfigurationDocument(text)->configuration);
  CHECK(changed->configuration.routes.at("r2").timeout_ms == 9'900);
  // An invalid document between two valid ones has no effect.
  CHECK_FALSE(parser.Parse(text.substr(0, text.size() / 2)));
  CHECK(parser.Parse(text)->configuration == changed->configuration);
}

TEST_CASE("configuration document: brackets inside strings are not structure") {
  std::string text(kDocument);
  text.replace(text.find("\"later\":{\"x\":1}"), 15, R"("later":"}]{\\\"[")");
  const auto snapshot = ParseConfigurationDocument(text);
  REQUIRE(snapshot);
  CHECK(snapshot->configuration.routes.size() == 2);
}

TEST_CASE(
    "configuration document: a route of an unknown kind is not repeatable") {
  std::string text(kDocument);
  text.replace(text.find("safe"), 4, "odd1");
  CHECK_FALSE(ParseConfigurationDocument(text)
                  ->configuration.routes.at("r1")
                  .repeatable);
}

TEST_CASE(
    "configuration document: truncated text and wrong types are refused") {
  for (size_t n = 0; n + 1 < kDocument.size(); n += 7) {
    CHECK_FALSE(ParseConfigurationDocument(kDocument.substr(0, n)));
  }
  const std::pair<const char*, const char*> faults[] = {
      {"\"version\":7", "\"version\":\"7\""},
      {"\"weight\":90", "\"weight\":\"90\""},
      {"\"timeoutS\":1.2", "\"timeoutS\":-1"},
      {"\"prefix\":\"/l/\"", "\"prefix\":3"},
      {"\"name\":\"b\"", "\"nome\":\"b\""}};
  for (const auto& [good, bad] : faults) {
    std::string text(kDocument);
    text.replace(text.find(good), std::string(good).size(), bad);
    const auto snapshot = ParseConfigurationDocument(text);
    REQUIRE_FALSE(snapshot);
    CHECK(snapshot.error().code == Errc::kInvalidConfiguration);
  }
}

}  // namespace
}  // namespace buckthorncart::platform
