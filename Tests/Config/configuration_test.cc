#include "Config/configuration.h"

#include <doctest/doctest.h>

#include "Config/edit.h"

namespace buckthorncart {
namespace {

Edit Create(ObjectKind kind, const std::string& name,
            std::vector<Assignment> assignments = {}) {
  return {EditAction::kCreate, kind, name, std::move(assignments)};
}

Configuration WithRoute() {
  return *ApplyEdits({},
                     {Create(ObjectKind::kService, "catalogus"),
                      Create(ObjectKind::kRoute, "proofs",
                             {{"path", "/proofs"}, {"service", "catalogus"}})});
}

TEST_CASE("configuration: a route to a service of the same change is valid") {
  const Configuration configuration = WithRoute();
  CHECK(configuration.routes.at("proofs").service == "catalogus");
}

TEST_CASE("configuration: a route to no service is refused") {
  const auto result =
      ApplyEdits({}, {Create(ObjectKind::kRoute, "proofs",
                             {{"path", "/proofs"}, {"service", "catalogus"}})});
  REQUIRE(!result);
  CHECK(result.error().code == Errc::kUnknownService);
}

TEST_CASE("configuration: a service in use is not deleted") {
  const auto result = ApplyEdits(
      WithRoute(),
      {{EditAction::kDelete, ObjectKind::kService, "catalogus", {}}});
  REQUIRE(!result);
  CHECK(result.error().code == Errc::kServiceInUse);
  CHECK(result.error().subject == "service catalogus <- route proofs");
}

TEST_CASE("configuration: routes match the longest prefix on a boundary") {
  Configuration configuration = WithRoute();
  configuration.routes["all"] = {"all", "/", "catalogus"};
  CHECK(configuration.FindRoute("", "/proofs/7?x=1")->name == "proofs");
  CHECK(configuration.FindRoute("", "/proofsheet")->name == "all");
}

TEST_CASE("configuration: deny goes before allow, allow excludes the rest") {
  Configuration configuration = WithRoute();
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
  CHECK(WithRoute().Digest() == WithRoute().Digest());
  CHECK(WithRoute().Digest() != Configuration{}.Digest());
}

TEST_CASE("configuration: values out of range are refused by name") {
  const auto result = ApplyEdits({}, {Create(ObjectKind::kService, "catalogus",
                                             {{"availability", "100.1"}})});
  REQUIRE(!result);
  CHECK(result.error().code == Errc::kInvalidValue);
  CHECK(result.error().subject == "service catalogus availability=100.1");
}

}  // namespace
}  // namespace buckthorncart
