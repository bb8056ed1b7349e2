#include <doctest/doctest.h>
#include <signal.h>

#include <fstream>
#include <nlohmann/json.hpp>

#include "EndToEnd/process_fleet.h"
#include "EndToEnd/slow_reader.h"

namespace buckthorncart {
namespace {

constexpr uint32_t kDaemons = 4;
constexpr uint32_t kSlots = 8;
/// One third of the capacity of the three remaining backend servers, which is
/// 3 * 8 / 20 ms, so that a busy machine does not overload them. A load of 80%
/// is tested in virtual time.
constexpr uint32_t kRatePerSecond = 400;

struct DrainFleet {
  DrainFleet() {
    fleet.StartPlatform();
    for (uint32_t n = 1; n <= kDaemons; ++n) fleet.StartDaemon(n, kDaemons);
    for (uint32_t n = 1; n <= kDaemons; ++n) {
      fleet.StartBackendServer(
          n, "catalogus",
          {"--slots", std::to_string(kSlots), "--time-us", "20000"});
    }
    REQUIRE(WaitFor([this] { return AllBackendServersReady(); }));
    const auto answer = fleet.Post(fleet.Operators(1), "/v1/changes",
                                   "create service catalogus\n"
                                   "create route p path=/p service=catalogus");
    REQUIRE(answer.status == 200);
    REQUIRE(WaitFor([this] { return IsInForce(); }));
  }
  bool IsInForce() {
    const auto answer = fleet.Get(fleet.Operators(1), "/v1/in-force?version=1");
    if (answer.status != 200) return false;
    return nlohmann::json::parse(answer.body)["in_force"] == kDaemons;
  }
  /// Returns whether every daemon lists every backend server as ready.
  bool AllBackendServersReady() {
    for (uint32_t n = 1; n <= kDaemons; ++n) {
      if (fleet.Get(fleet.Operators(n), "/ready").status != 200) return false;
      const auto answer = fleet.Get(fleet.Operators(n), "/v1/daemons");
      if (answer.status != 200) return false;
      const auto body = nlohmann::json::parse(answer.body);
      uint32_t ready = 0;
      for (const auto& daemon : body["daemons"]) {
        const bool alive = daemon["status"] == "alive";
        if (alive && daemon["backend_server"] == "ready") ++ready;
      }
      if (ready != kDaemons) return false;
    }
    return true;
  }
  void StartLoad(const std::string& output) {
    report_path = output;
    std::string targets;
    for (uint32_t n = 1; n <= kDaemons; ++n) {
      targets += (n == 1 ? "" : ",") + fleet.Callers(n).ToString();
    }
    fleet.StartProgram(
        "load", "load_tool",
        {"--target", targets, "--path", "/p/1", "--rate",
         std::to_string(kRatePerSecond), "--seconds", "110", "--fail-over"},
        output);
  }
  nlohmann::json EndLoad() {
    fleet.Signal("load", SIGTERM);
    CHECK(fleet.WaitForExit("load", 20s) == 0);
    std::ifstream in(report_path);
    return nlohmann::json::parse(in);
  }
  ProcessFleet fleet;
  std::string report_path;
};

TEST_CASE("drain: a rolling restart of all daemons cuts and loses nothing") {
  DrainFleet test;
  test.StartLoad("rolling-restart.json");
  for (uint32_t n = 1; n <= kDaemons; ++n) {
    const std::string name = "daemon-" + std::to_string(n);
    test.fleet.Signal(name, SIGTERM);
    CHECK(test.fleet.WaitForExit(name, 30s) == 0);
    test.fleet.StartDaemon(n, kDaemons);
    CHECK(WaitFor([&] { return test.AllBackendServersReady(); }));
  }
  const nlohmann::json report = test.EndLoad();
  MESSAGE(report.dump());
  CHECK(report["whole"] > 0);
  CHECK(report["moved"] > 0);
  CHECK(report["broken"] == 0);
  CHECK(report["unknown"] == 0);
  CHECK(report["not_run"] == 0);
  CHECK(report["wrong"] == 0);
}

TEST_CASE("drain control: daemons that are killed cut requests") {
  DrainFleet test;
  test.StartLoad("killed-daemons.json");
  REQUIRE(WaitFor([&] {
    const auto answer = test.fleet.Get(test.fleet.Operators(1), "/v1/metrics");
    return answer.status != 0;
  }));
  REQUIRE(WaitFor([&] {
    const auto log = test.fleet.Get(test.fleet.Backend(1), "/log");
    return nlohmann::json::parse(log.body)["runs"] > 100;
  }));
  for (uint32_t n = 1; n <= kDaemons; ++n) {
    test.fleet.Signal("daemon-" + std::to_string(n), SIGKILL);
  }
  const nlohmann::json report = test.EndLoad();
  MESSAGE(report.dump());
  CHECK(report["broken"] > 0);
}

TEST_CASE("drain: a caller that reads slowly gets its whole answer") {
  constexpr size_t kAnswerBytes = 8'000'000;
  DrainFleet test;
  SlowReader reader(test.fleet.Callers(1), "/p/1?size=8000000");
  REQUIRE(reader.Read(100) == 100);
  test.fleet.Signal("daemon-1", SIGTERM);
  // Without requests in flight the daemon would exit after a second.
  CHECK(test.fleet.WaitForExit("daemon-1", 3s) == -1);
  CHECK(reader.Read(2 * kAnswerBytes) >= kAnswerBytes - 100);
  CHECK(test.fleet.WaitForExit("daemon-1", 20s) == 0);
}

TEST_CASE("start: callers' connections are refused until a daemon is ready") {
  ProcessFleet fleet;
  fleet.StartDaemon(1, 1);
  REQUIRE(WaitFor(
      [&] { return fleet.Get(fleet.Operators(1), "/ready").status == 503; }));
  CHECK(fleet.Get(fleet.Callers(1), "/p/1").status == 0);
  fleet.StartPlatform();
  REQUIRE(WaitFor(
      [&] { return fleet.Get(fleet.Operators(1), "/ready").status == 200; }));
  CHECK(fleet.Get(fleet.Callers(1), "/p/1").status == 404);
}

}  // namespace
}  // namespace buckthorncart
