#include <doctest/doctest.h>

#include <nlohmann/json.hpp>

#include "Support/fake_fleet.h"

namespace buckthorncart {
namespace {

constexpr const char* kCreate =
    "create service catalogus\n"
    "create route proofs path=/proofs service=catalogus";

/// Three daemons in three data centres that have started and are ready.
struct ThreeDaemons {
  ThreeDaemons() {
    fleet.Add(1, "nl-west-a");
    fleet.Add(2, "nl-west-b");
    fleet.Add(3, "nl-west-c");
    fleet.StartAll();
    fleet.Advance(3s);
  }
  nlohmann::json Apply(uint32_t n, const std::string& text,
                       const std::string& query = "") {
    return nlohmann::json::parse(
        fleet.Ask(n, "POST", "/v1/changes?" + query, text));
  }
  FakeFleet fleet;
};

TEST_CASE("acceptance: a change reaches all daemons") {
  ThreeDaemons test;
  const auto answer = test.Apply(1, kCreate);
  CHECK(answer["result"] == "accepted");
  CHECK(answer["version"] == 1);
  test.fleet.Advance(1s);
  for (const uint32_t n : {1U, 2U, 3U}) CHECK(test.fleet.At(n).Version() == 1);
}

TEST_CASE(
    "acceptance: it is reported after two other data centres hold the change") {
  ThreeDaemons test;
  const auto answer = test.Apply(1, kCreate);
  CHECK(answer["holders"].size() == 2);
}

TEST_CASE("acceptance: a refused change has no effect") {
  ThreeDaemons test;
  const auto answer =
      test.Apply(1, "create service a\ncreate route r path=/r service=b");
  CHECK(answer["result"] == "refused");
  CHECK(answer["error"] == "unknown-service");
  CHECK(test.fleet.At(1).Version() == 0);
  CHECK(test.Apply(2, "create service a")["version"] == 1);
}

TEST_CASE("acceptance: a dry run at /v1/changes is refused and not executed") {
  ThreeDaemons test;
  const auto answer = test.Apply(1, kCreate, "dry-run=yes");
  CHECK(answer["result"] == "refused");
  CHECK(answer["error"] == "invalid-value");
  CHECK(test.fleet.At(1).Version() == 0);
}

TEST_CASE("acceptance: a repeated operation is accepted only once") {
  ThreeDaemons test;
  const auto first = test.Apply(1, kCreate, "operation=spring");
  const auto again = test.Apply(2, kCreate, "operation=spring");
  CHECK(first["version"] == again["version"]);
  CHECK(test.fleet.At(1).Version() == 1);
}

TEST_CASE("acceptance: the outcome is determined after a lost reply") {
  ThreeDaemons test;
  test.fleet.SetPlatformFault(PlatformFault::kLoseAnswers);
  const uint64_t request =
      test.fleet.Submit(1, "POST", "/v1/changes?operation=spring", kCreate);
  test.fleet.Advance(1s);
  test.fleet.SetPlatformFault(PlatformFault::kNone);
  test.fleet.Advance(5s);
  const auto answer =
      nlohmann::json::parse(test.fleet.OperatorAnswers()[request]);
  CHECK(answer["result"] == "accepted");
  for (const uint32_t n : {1U, 2U, 3U}) CHECK(test.fleet.At(n).Version() == 1);
}

TEST_CASE("acceptance: changes are refused while the platform is down") {
  ThreeDaemons test;
  test.fleet.SetPlatformFault(PlatformFault::kDown);
  const auto answer = test.Apply(1, kCreate);
  CHECK(answer["result"] == "refused");
  CHECK(answer["error"] == "platform-unavailable");
}

}  // namespace
}  // namespace buckthorncart
