#include "Plugins/Reports/burn_report.h"

#include <doctest/doctest.h>

#include <nlohmann/json.hpp>

#include "Support/fake_fleet.h"

namespace buckthorncart {
namespace {

/// Policy for the control test: counts never expire.
struct FixedWindow {
  static constexpr bool kRolls = false;
};

/// All plug-ins, with a burn rate report whose windows never roll.
FakeDaemon::Plugins PluginsWithFixedWindows(const KernelSettings& settings) {
  FakeDaemon::Plugins plugins = StandardPlugins(settings);
  for (auto& plugin : plugins) {
    if (dynamic_cast<BurnReporter<>*>(plugin.get()) == nullptr) continue;
    plugin = std::make_unique<BurnReporter<FixedWindow>>();
  }
  return plugins;
}

/// Three daemons; the backend server runs on the VM of the second.
struct Fleet {
  explicit Fleet(const FakeFleet::PluginFactory& plugins = StandardPlugins)
      : fleet(plugins) {
    fleet.Add(1, "nl-west-a");
    fleet.Add(2, "nl-west-b");
    fleet.Add(3, "nl-west-c");
    fleet.StartAll();
    fleet.Announce(2, "catalogus", "ready", 100);
    fleet.Advance(3s);
    fleet.Ask(1, "POST", "/v1/changes",
              "create service catalogus availability=99 latency=100ms "
              "latency-share=90\n"
              "create route proofs path=/proofs service=catalogus\n"
              "create service bestelling\n"
              "create route orders path=/orders service=bestelling "
              "repeatable=no");
    fleet.Advance(2s);
  }
  void Calls(uint32_t n, uint32_t count, const BackendBehaviour& behaviour,
             const std::string& path = "/proofs/1") {
    fleet.Behaviours()[2] = behaviour;
    for (uint32_t i = 0; i < count; ++i) {
      fleet.Call(n, {"GET", path, {}, ""});
      fleet.Advance(200ms);
    }
  }
  nlohmann::json Report(uint32_t n, const std::string& query = "") {
    return nlohmann::json::parse(
        fleet.Ask(n, "GET", "/v1/report/burn" + query));
  }
  /// Row of service catalogus for `window` in the report of daemon 2.
  nlohmann::json Row(const std::string& window) {
    const auto report = Report(2, "?service=catalogus");
    for (const auto& row : report["burn"]) {
      if (row["window"] == window) return row;
    }
    return {};
  }
  FakeFleet fleet;
};

/// Sends 70 successful, 20 slow and 10 failing calls through two daemons.
void SendKnownCalls(Fleet& test) {
  test.Calls(1, 70, {});
  BackendBehaviour slow;
  slow.time = 150ms;
  test.Calls(3, 20, slow);
  BackendBehaviour failing;
  failing.fault = BackendFault::kConnectionBroken;
  test.Calls(1, 10, failing);
}

TEST_CASE("burn report: rates of known calls, summed over daemons") {
  Fleet test;
  SendKnownCalls(test);
  const auto report = test.Report(2, "?service=catalogus");
  CHECK(report["daemons"] == 3);
  CHECK(report["missing"].empty());
  CHECK(report["burn"].size() == 3);
  const auto row = report["burn"][0];
  CHECK(row["calls"] == 100);
  CHECK(row["failures"] == 10);
  CHECK(row["burn_rate"] == 10.0);
  CHECK(row["budget_left"] == -900.0);
  CHECK(row["slow"] == 20);
  CHECK(row["latency_burn_rate"] == 2.0);
}

/// True if the calls expire from the 5 min window and stay in the longer ones.
bool ReportRolls(Fleet& test) {
  SendKnownCalls(test);
  test.fleet.Advance(5min);
  return test.Row("5m")["calls"] == 0 && test.Row("1h")["calls"] == 100 &&
         test.Row("6h")["failures"] == 10;
}

TEST_CASE("burn report: windows roll") {
  Fleet test;
  CHECK(ReportRolls(test));
}

TEST_CASE("burn report: control, the check fails if windows never roll") {
  Fleet test(PluginsWithFixedWindows);
  CHECK_FALSE(ReportRolls(test));
}

TEST_CASE("burn report: a daemon that does not answer is listed as missing") {
  Fleet test;
  test.Calls(1, 5, {});
  test.fleet.Freeze(3);
  const auto report = test.Report(1);
  CHECK(report["daemons"] == 2);
  REQUIRE(report["missing"].size() == 1);
  CHECK(report["missing"][0] == test.fleet.At(3).Self().ToString());
  CHECK(test.Row("5m")["calls"] == 5);
}

TEST_CASE("burn report: a killed daemon is listed as missing without waiting") {
  Fleet test;
  test.fleet.Kill(3);
  const Time asked = test.fleet.Now();
  CHECK(test.Report(1)["missing"].size() == 1);
  CHECK(test.fleet.Now() - asked < 500ms);
}

TEST_CASE("burn report: callers' own faults are not counted") {
  Fleet test;
  test.Calls(1, 3, {}, "/nowhere");
  test.Calls(1, 3, {}, "/orders/1");
  const uint64_t call = test.fleet.Call(1, {"GET", "/proofs/1", {}, ""});
  test.fleet.At(1).Deliver(test.fleet.Now(), CallerDisconnected{call});
  test.fleet.Advance(1s);
  const auto report = test.Report(1);
  CHECK(report["burn"].size() == 6);
  for (const auto& row : report["burn"]) CHECK(row["calls"] == 0);
  CHECK(test.fleet.At(1).Counter("objective_excluded_calls_total") == 1);
}

TEST_CASE("burn report: a call without a backend server is a failure") {
  Fleet test;
  test.fleet.Call(1, {"GET", "/orders/1", {{"idempotency-key", "k"}}, ""});
  test.fleet.Advance(1s);
  const auto row = test.Report(3, "?service=bestelling")["burn"][0];
  CHECK(row["calls"] == 1);
  CHECK(row["failures"] == 1);
}

TEST_CASE("burn report: an unknown service is refused with its name") {
  Fleet test;
  const auto report = test.Report(1, "?service=nothing");
  CHECK(report["error"] == "unknown-service");
  CHECK(report["subject"] == "service nothing");
}

}  // namespace
}  // namespace buckthorncart
