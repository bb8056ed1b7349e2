#include "Config/configuration.h"

#include <doctest/doctest.h>

#include "Config/edit.h"

namespace buckthorncart {
namespace {

Edit Create(ObjectKind kind, const std::string& name,
            std::vector<Assignment> assignments = {}) {
  return {EditAction::kCreate, kind, name, std::move(assignments)};
}

Configuration ConfigurationWithRoute() {
  return *ApplyEdits({},
                     {Create(ObjectKind::kService, "catalogus"),
                      Create(ObjectKind::kRoute, "proofs",
                             {{"path", "/proofs"}, {"service", "catalogus"}})});
}

TEST_CASE("configuration: a route to a service of the same change is valid") {
  const Configuration configuration = ConfigurationWithRoute();
  CHECK(configuration.routes.at("proofs").service == "catalogus");
}

TEST_CASE("configuration: a route to an unknown service is rejected") {
  const auto result =
      ApplyEdits({}, {Create(ObjectKind::kRoute, "proofs",
                             {{"path", "/proofs"}, {"service", "catalogus"}})});
  REQUIRE(!result);
  CHECK(result.error().code == Errc::kUnknownService);
}

TEST_CASE("configuration: deletion of a service in use is rejected") {
  const auto result = ApplyEdits(
      ConfigurationWithRoute(),
      {{EditAction::kDelete, ObjectKind::kService, "catalogus", {}}});
  REQUIRE(!result);
  CHECK(result.error().code == Errc::kServiceInUse);
  CHECK(result.error().subject == "service catalogus <- route proofs");
}

TEST_CASE(
    "configuration: routes match the longest prefix at a segment boundary") {
  Configuration configuration = ConfigurationWithRoute();
  configuration.routes["all"] = {"all", "/", "catalogus"};
  CHECK(configuration.FindRoute("", "/proofs/7?x=1")->name == "proofs");
  CHECK(configuration.FindRoute("", "/proofsheet")->name == "all");
}

TEST_CASE(
    "configuration: deny overrides allow, allow rules exclude all others") {
  Configuration configuration = ConfigurationWithRoute();
  Rule allow{"near", "catalogus", RuleAction::kAllow, "", "nl-west-a", {}};
  configuration.rules["near"] = allow;
  const auto allows = [&](const std::string& data_centre) {
    return configuration.Allows("catalogus", RequestClass::kInteractive,
                                data_centre, {{"disk", "slow"}});
  };
  CHECK(allows("nl-west-a"));
  CHECK(!allows("nl-west-b"));
  Rule deny{"slow", "catalogus", RuleAction::kDeny, "", "", {{"disk", "slow"}}};
  configuration.rules["slow"] = deny;
  CHECK(!allows("nl-west-a"));
}

TEST_CASE("configuration: equal contents have equal digests") {
  CHECK(ConfigurationWithRoute().Digest() == ConfigurationWithRoute().Digest());
  CHECK(ConfigurationWithRoute().Digest() != Configuration{}.Digest());
}

TEST_CASE("configuration: the failure names the value that is out of range") {
  const auto result = ApplyEdits({}, {Create(ObjectKind::kService, "catalogus",
                                             {{"availability", "100.1"}})});
  REQUIRE(!result);
  CHECK(result.error().code == Errc::kInvalidValue);
  CHECK(result.error().subject == "service catalogus availability=100.1");
}

}  // namespace
}  // namespace buckthorncart
