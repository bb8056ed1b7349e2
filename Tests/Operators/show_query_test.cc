#include <doctest/doctest.h>

#include <nlohmann/json.hpp>

#include "Support/fake_fleet.h"

namespace buckthorncart {
namespace {

/// Four daemons in three data centres with one service and one route.
struct Fleet {
  Fleet() {
    fleet.Add(1, "nl-west-a");
    fleet.Add(2, "nl-west-b");
    fleet.Add(3, "nl-west-c");
    fleet.Add(4, "nl-west-c");
    fleet.StartAll();
    fleet.Advance(3s);
    fleet.Ask(1, "POST", "/v1/changes",
              "create service catalogus latency=1s\n"
              "create route proofs path=/proofs service=catalogus");
    fleet.Advance(2s);
  }
  nlohmann::json Show(const std::string& text) {
    return nlohmann::json::parse(
        fleet.Ask(1, "POST", "/v1/query", "show " + text));
  }
  FakeFleet fleet;
};

TEST_CASE("show at: a data centre shows what each daemon there holds") {
  Fleet test;
  const auto answer = test.Show("routes at nl-west-c");
  REQUIRE(answer["daemons"].size() == 2);
  CHECK(answer["missing"].empty());
  for (const auto& daemon : answer["daemons"]) {
    CHECK(daemon["version"] == 1);
    CHECK(daemon["routes"][0]["name"] == "proofs");
  }
}

/// True for effects that would deliver a newer version to daemon 2.
bool DeliversVersionTo2(Address from, const Effect& effect) {
  const Address second = TestSettings(2, "nl-west-b").self;
  if (std::holds_alternative<CallPlatform>(effect)) return from == second;
  const auto* sent = std::get_if<SendPeer>(&effect);
  if (sent == nullptr || sent->to != second) return false;
  return std::holds_alternative<PushChanges>(sent->message) ||
         std::holds_alternative<PushSnapshot>(sent->message);
}

TEST_CASE("show at: a VM that is behind shows its own version") {
  Fleet test;
  test.fleet.SetFilter([](Address from, const Effect& effect) {
    return !DeliversVersionTo2(from, effect);
  });
  test.fleet.Ask(1, "POST", "/v1/changes", "create service bestelling");
  CHECK(test.Show("services")["version"] == 2);
  const auto answer = test.Show("services at 127.0.0.2");
  REQUIRE(answer["daemons"].size() == 1);
  CHECK(answer["daemons"][0]["version"] == 1);
  CHECK(answer["daemons"][0]["services"].size() == 1);
}

TEST_CASE("show at: a daemon that does not answer is listed as missing") {
  Fleet test;
  test.fleet.Freeze(4);
  const auto answer = test.Show("services at nl-west-c");
  CHECK(answer["daemons"].size() == 1);
  REQUIRE(answer["missing"].size() == 1);
  CHECK(answer["missing"][0] == test.fleet.At(4).Self().ToString());
}

TEST_CASE("show at: an unknown location is refused with the known ones") {
  Fleet test;
  const auto answer = test.Show("services at nl-east-z");
  CHECK(answer["error"] == "unknown-object");
  const auto expected = answer["expected"].get<std::string>();
  CHECK(expected.find("nl-west-a | nl-west-b | nl-west-c") == 0);
  CHECK(expected.find("127.0.0.4") != std::string::npos);
}

TEST_CASE("show daemons: conditions on any key") {
  Fleet test;
  CHECK(test.Show("daemons")["daemons"].size() == 4);
  CHECK(test.Show("daemons where data-centre=nl-west-c")["daemons"].size() ==
        2);
  CHECK(test.Show("daemons where slots=0 vm=127.0.0.2")["daemons"].size() == 1);
}

TEST_CASE("show: conditions compare durations by value") {
  Fleet test;
  CHECK(test.Show("services where latency=1000ms")["services"].size() == 1);
  CHECK(test.Show("services where latency=1s")["services"].size() == 1);
  CHECK(test.Show("services where latency=2s")["services"].empty());
}

TEST_CASE("show: a key that the subject does not have is refused") {
  Fleet test;
  const auto answer = test.Show("services where colour=blue");
  CHECK(answer["error"] == "invalid-value");
  CHECK(answer["subject"] == "condition on colour");
}

TEST_CASE("preview: differences of each object, and nothing is changed") {
  Fleet test;
  const auto answer = nlohmann::json::parse(
      test.fleet.Ask(2, "POST", "/v1/preview",
                     "create service bestelling\n"
                     "change route proofs service=bestelling\n"
                     "delete service catalogus"));
  CHECK(answer["result"] == "would-accept");
  CHECK(answer["base"] == 1);
  const auto& differences = answer["differences"];
  REQUIRE(differences.size() == 3);
  CHECK(differences[0]["action"] == "delete");
  CHECK(differences[1]["object"] == "service bestelling");
  CHECK(differences[2]["changes"] ==
        nlohmann::json::parse(
            R"([{"key":"service","from":"catalogus","to":"bestelling"}])"));
  test.fleet.Advance(2s);
  CHECK(test.fleet.At(2).Version() == 1);
}

TEST_CASE("preview: a change that would be refused is refused") {
  Fleet test;
  const auto answer = nlohmann::json::parse(
      test.fleet.Ask(2, "POST", "/v1/preview", "delete service catalogus"));
  CHECK(answer["error"] == "service-in-use");
}

}  // namespace
}  // namespace buckthorncart
