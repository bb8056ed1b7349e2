#include "Plugins/Admission/crash_guard.h"

#include <doctest/doctest.h>

#include <nlohmann/json.hpp>
#include <string>

#include "Requests/order_fleet.h"

namespace buckthorncart {
namespace {

struct RetryAlways : StandardCrashGuardRules {
  static constexpr bool kStopRetries = false;
};
struct NeverRefuse : StandardCrashGuardRules {
  static constexpr bool kRefuse = false;
};
struct TellNobody : StandardCrashGuardRules {
  static constexpr bool kSpread = false;
};
struct SuspectAll : StandardCrashGuardRules {
  static constexpr bool kExonerate = false;
};

template <CrashGuardRules Rules = StandardCrashGuardRules>
OrderFleet MakeFleet() {
  OrderFleet test(
      ReplacePlugin<CrashGuard<StandardCrashGuardRules>, CrashGuard<Rules>>);
  for (uint32_t n = 1; n <= kOrderDaemons; ++n) {
    test.fleet.Behaviours()[n].killed_by = "crash";
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

/// Sends a request that kills its backend server again and again, through each
/// daemon in turn; returns how many backend servers die.
template <CrashGuardRules Rules>
uint32_t DeathsOfRepeated(const std::string& path) {
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
  CHECK(DeathsOfRepeated<StandardCrashGuardRules>("/proofs/crash") == 2);
  CHECK(DeathsOfRepeated<NeverRefuse>("/proofs/crash") == kOrderDaemons);
}

TEST_CASE("crash guard: new keys do not hide the same order") {
  CHECK(DeathsOfRepeated<StandardCrashGuardRules>("/orders/crash") == 2);
  CHECK(DeathsOfRepeated<NeverRefuse>("/orders/crash") == kOrderDaemons);
}

TEST_CASE("crash guard: daemons tell one another of deaths") {
  CHECK(DeathsOfRepeated<TellNobody>("/proofs/crash") > 2);
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
  CHECK(DeathsOfOneCall<RetryAlways>() > 1);
}

/// Requests that run beside the one that kills, and have been answered before.
/// Returns how many of the later ones are answered.
template <CrashGuardRules Rules>
uint32_t AnsweredBeside() {
  OrderFleet test = MakeFleet<Rules>();
  const auto proof = [&](uint32_t n) {
    return test.Order(n, "p", "body", 3'000, "/proofs/7");
  };
  for (uint32_t i = 0; i < 50; ++i) {
    proof(1 + i % kOrderDaemons);
    test.fleet.Advance(10ms);
  }
  // The connections of all that run break with the death.
  for (uint32_t round = 0; round < 2; ++round) {
    test.SetFault(BackendFault::kConnectionBroken);
    test.Order(1, "k", "body", 3'000, "/proofs/crash");
    proof(2);
    proof(3);
    test.fleet.Advance(10ms);
    test.SetFault(BackendFault::kNone);
    test.fleet.Advance(1s);
  }
  uint32_t answered = 0;
  for (uint32_t i = 0; i < 10; ++i) {
    const uint64_t call = proof(1 + i % kOrderDaemons);
    test.fleet.Advance(50ms);
    if (test.OutcomeOf(call) == "ran") ++answered;
  }
  return answered;
}

TEST_CASE("crash guard: requests beside the one that kills go on") {
  CHECK(AnsweredBeside<StandardCrashGuardRules>() == 10);
  CHECK(AnsweredBeside<SuspectAll>() == 0);
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
