#include <doctest/doctest.h>

#include <nlohmann/json.hpp>

#include "Support/configuration_plugins.h"
#include "Support/version_checker.h"

namespace buckthorncart {
namespace {

struct NoValidation : StandardConfigurationRules {
  static constexpr bool kValidateResult = false;
};
struct NoAcceptanceValidation : StandardAcceptanceRules {
  static constexpr bool kValidateResult = false;
};

/// Two backend servers of different services, and a route to the first service.
struct RoutedFleet {
  explicit RoutedFleet(FakeFleet::PluginFactory plugins = PluginsWith<>)
      : fleet(std::move(plugins)), watch(fleet) {
    for (const uint32_t n : {1U, 2U, 3U}) {
      fleet.Add(n, n == 3 ? "nl-west-b" : "nl-west-a");
    }
    fleet.Announce(1, "old");
    fleet.Announce(2, "new");
    fleet.StartAll();
    fleet.Advance(3s);
    Apply("create service old; create route r path=/r service=old");
    fleet.Advance(2s);
  }
  nlohmann::json Apply(const std::string& text) {
    return nlohmann::json::parse(fleet.Ask(3, "POST", "/v1/changes", text));
  }
  void CallEachDaemon() {
    for (const uint32_t n : {1U, 2U, 3U}) {
      calls.push_back(fleet.Call(n, {"GET", "/r/x", {}, ""}));
    }
  }
  /// Returns the number of calls without a complete answer of status 200.
  uint64_t FailedCalls() {
    uint64_t n = 0;
    for (const uint64_t call : calls) {
      const AnswerPart& answer = fleet.CallerAnswers()[call];
      if (answer.status != 200 || answer.end != AnswerEnd::kComplete) ++n;
    }
    return n;
  }
  FakeFleet fleet;
  VersionChecker watch;
  std::vector<uint64_t> calls;
};

TEST_CASE("references: a service in use cannot be deleted and still serves") {
  RoutedFleet test;
  test.CallEachDaemon();
  const auto answer = test.Apply("delete service old");
  CHECK(answer["error"] == "service-in-use");
  CHECK(answer["subject"] == "service old <- route r");
  test.CallEachDaemon();
  test.fleet.Advance(3s);
  CHECK(test.FailedCalls() == 0);
  CHECK(test.watch.NoViolations());
}

TEST_CASE("references: a route moves to a service created in the same change") {
  RoutedFleet test;
  test.fleet.Behaviours()[1].time = 800ms;
  test.CallEachDaemon();  // These run at the old service while it is deleted.
  test.fleet.Advance(10ms);
  const auto answer = test.Apply(
      "create service new; change route r service=new; delete service old");
  CHECK(answer["result"] == "accepted");
  test.fleet.Advance(100ms);
  test.CallEachDaemon();
  test.fleet.Advance(3s);
  CHECK(test.FailedCalls() == 0);
  CHECK(test.fleet.RunsAt(1) == 3);
  CHECK(test.fleet.RunsAt(2) == 3);
  CHECK(test.watch.NoViolations());
  for (const uint32_t n : {1U, 2U, 3U}) CHECK(test.fleet.At(n).Version() == 2);
}

TEST_CASE("references: edits within a change may be in any order") {
  RoutedFleet test;
  const auto answer = test.Apply(
      "delete service old; change route r service=new; create service new");
  CHECK(answer["result"] == "accepted");
  test.fleet.Advance(2s);
  CHECK(test.watch.NoViolations());
}

/// Daemon 3 doesn't validate and accepts the deletion of a service in use. Its
/// change row and pushes are well-formed except for the dangling route.
template <ConfigurationRules Rules>
struct InvalidVersionFleet {
  InvalidVersionFleet()
      : test([](const KernelSettings& settings) {
          return settings.self.ip % 256 == 3
                     ? PluginsWith<NoValidation, NoAcceptanceValidation>(
                           settings)
                     : PluginsWith<Rules>(settings);
        }) {
    REQUIRE(test.Apply("delete service old")["result"] == "accepted");
    test.fleet.Advance(10s);
  }
  uint64_t DanglingReferencesAt(uint32_t n) {
    const Snapshot& held = *test.fleet.At(n).GetContext().Shared().held;
    return held.configuration.Validate().size();
  }
  RoutedFleet test;
};

TEST_CASE("references: an invalid version is rejected as a whole everywhere") {
  InvalidVersionFleet<StandardConfigurationRules> run;
  CHECK(run.DanglingReferencesAt(3) == 1);  // The daemon without the rule.
  for (const uint32_t n : {1U, 2U}) {
    CHECK(run.DanglingReferencesAt(n) == 0);
    CHECK(run.test.fleet.At(n).Version() == 1);
    CHECK(run.test.fleet.At(n).Counter(
              "configuration_versions_held_back_total") > 0);
  }
  // The next valid version is applied as a whole.
  REQUIRE(run.test.Apply("create service old")["result"] == "accepted");
  run.test.fleet.Advance(20s);
  for (const uint32_t n : {1U, 2U}) CHECK(run.test.fleet.At(n).Version() == 3);
}

TEST_CASE("references: control: without the rule a route dangles") {
  InvalidVersionFleet<NoValidation> run;
  CHECK(run.DanglingReferencesAt(1) == 1);
  CHECK(run.DanglingReferencesAt(2) == 1);
}

}  // namespace
}  // namespace buckthorncart
