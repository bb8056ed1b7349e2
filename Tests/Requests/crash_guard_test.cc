#include "Plugins/Admission/crash_guard.h"

#include <doctest/doctest.h>

#include <nlohmann/json.hpp>
#include <string>

#include "Requests/order_fleet.h"

namespace buckthorncart {
namespace {

struct NoStopRetries : StandardCrashGuardRules {
  static constexpr bool kStopRetries = false;
};
struct NoRefuse : StandardCrashGuardRules {
  static constexpr bool kRefuse = false;
};
struct NoBroadcast : StandardCrashGuardRules {
  static constexpr bool kBroadcast = false;
};
struct NoExonerate : StandardCrashGuardRules {
  static constexpr bool kExonerate = false;
};

template <CrashGuardRules Rules = StandardCrashGuardRules>
OrderFleet MakeFleet() {
  OrderFleet test(
      ReplacePlugin<CrashGuard<StandardCrashGuardRules>, CrashGuard<Rules>>);
  for (uint32_t n = 1; n <= kOrderDaemons; ++n) {
    test.fleet.Behaviours()[n].fatal_path = "crash";
  }
  return test;
}

uint32_t Deaths(OrderFleet& test) {
  uint32_t n = 0;
  for (const auto& [number, behaviour] : test.fleet.Behaviours()) {
    if (behaviour.dead) ++n;
  }
  return n;
}

/// Repeatedly sends a request that crashes its backend server, through each
/// daemon in turn. Returns the number of backend servers that crash.
template <CrashGuardRules Rules>
uint32_t DeathsOfRepeatedCalls(const std::string& path) {
  OrderFleet test = MakeFleet<Rules>();
  for (uint32_t i = 0; i < 20; ++i) {
    const uint64_t call = test.Order(
        1 + i % kOrderDaemons, "k" + std::to_string(i), "body", 3'000, path);
    test.fleet.Advance(100ms);
    const uint32_t runs = test.RunsOf("k" + std::to_string(i));
    CHECK(test.OutcomeOf(call) == (runs == 0 ? "not-run" : "unknown"));
  }
  return Deaths(test);
}

TEST_CASE("crash guard: a request kills at most two backend servers") {
  CHECK(DeathsOfRepeatedCalls<StandardCrashGuardRules>("/proofs/crash") == 2);
  CHECK(DeathsOfRepeatedCalls<NoRefuse>("/proofs/crash") == kOrderDaemons);
}

TEST_CASE("crash guard: new keys do not hide the same order") {
  CHECK(DeathsOfRepeatedCalls<StandardCrashGuardRules>("/orders/crash") == 2);
  CHECK(DeathsOfRepeatedCalls<NoRefuse>("/orders/crash") == kOrderDaemons);
}

TEST_CASE("crash guard: daemons report deaths to one another") {
  CHECK(DeathsOfRepeatedCalls<NoBroadcast>("/proofs/crash") > 2);
}

template <CrashGuardRules Rules>
uint32_t DeathsOfOneCall() {
  OrderFleet test = MakeFleet<Rules>();
  test.Order(1, "k", "body", 3'000, "/proofs/crash");
  test.fleet.Advance(3s);
  return Deaths(test);
}

TEST_CASE("crash guard: no retry after the first death") {
  CHECK(DeathsOfOneCall<StandardCrashGuardRules>() == 1);
  CHECK(DeathsOfOneCall<NoStopRetries>() > 1);
}

/// Sends requests that were answered before at the same time as a request that
/// crashes its backend server. Returns the number of later ones that are
/// answered.
template <CrashGuardRules Rules>
uint32_t AnsweredAfterConcurrentCrash() {
  OrderFleet test = MakeFleet<Rules>();
  const auto send_proof = [&](uint32_t n) {
    return test.Order(n, "p", "body", 3'000, "/proofs/7");
  };
  for (uint32_t i = 0; i < 50; ++i) {
    send_proof(1 + i % kOrderDaemons);
    test.fleet.Advance(10ms);
  }
  // A crash breaks the connections of all requests that are running.
  for (uint32_t round = 0; round < 2; ++round) {
    test.SetFault(BackendFault::kConnectionBroken);
    test.Order(1, "k", "body", 3'000, "/proofs/crash");
    send_proof(2);
    send_proof(3);
    test.fleet.Advance(10ms);
    test.SetFault(BackendFault::kNone);
    test.fleet.Advance(1s);
  }
  uint32_t answered = 0;
  for (uint32_t i = 0; i < 10; ++i) {
    const uint64_t call = send_proof(1 + i % kOrderDaemons);
    test.fleet.Advance(50ms);
    if (test.OutcomeOf(call) == "ran") ++answered;
  }
  return answered;
}

TEST_CASE(
    "crash guard: requests concurrent with the fatal one are not refused") {
  CHECK(AnsweredAfterConcurrentCrash<StandardCrashGuardRules>() == 10);
  CHECK(AnsweredAfterConcurrentCrash<NoExonerate>() == 0);
}

TEST_CASE("crash guard: operators see what is refused, and for how long") {
  OrderFleet test = MakeFleet();
  for (uint32_t i = 0; i < 3; ++i) {
    test.Order(1, "k", "body", 3'000, "/proofs/crash");
    test.fleet.Advance(1s);
  }
  const auto list = [&test] {
    return nlohmann::json::parse(
        test.fleet.Ask(4, "GET", "/v1/crash-guard"))["fingerprints"];
  };
  REQUIRE(list().size() == 1);
  CHECK(list()[0]["deaths"] == 2);
  CHECK(list()[0]["refused"] == true);
  CHECK(list()[0]["daemons"].size() == 2);
  test.fleet.Advance(10min);
  CHECK(list().empty());
}

}  // namespace
}  // namespace buckthorncart
