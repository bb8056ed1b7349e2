#include <doctest/doctest.h>
#include <signal.h>

#include <nlohmann/json.hpp>

#include "EndToEnd/process_fleet.h"

namespace buckthorncart {
namespace {

constexpr const char* kCreate =
    "create service catalogus\n"
    "create route proofs path=/proofs service=catalogus";
constexpr uint32_t kDaemons = 3;

/// A platform, three daemons and the backend servers beside the last two.
struct WholePath {
  WholePath() {
    fleet.StartPlatform();
    for (uint32_t n = 1; n <= kDaemons; ++n) fleet.StartDaemon(n, kDaemons);
    for (uint32_t n = 2; n <= kDaemons; ++n) {
      fleet.StartBackendServer(n, "catalogus");
    }
    REQUIRE(WaitFor([this] { return ReadyBackendServers() == 2; }));
    const auto answer = fleet.Post(fleet.Operators(1), "/v1/changes", kCreate);
    REQUIRE(answer.status == 200);
  }
  size_t ReadyBackendServers() {
    const auto answer = fleet.Get(fleet.Operators(1), "/v1/daemons");
    if (answer.status != 200) return 0;
    size_t ready = 0;
    const auto body = nlohmann::json::parse(answer.body);
    for (const auto& daemon : body["daemons"]) {
      if (daemon["backend_server"] == "ready") ++ready;
    }
    return ready;
  }
  ProcessFleet fleet;
};

TEST_CASE("whole path: a caller is answered by a backend server elsewhere") {
  WholePath test;
  const auto in_force = nlohmann::json::parse(
      test.fleet
          .Get(test.fleet.Operators(2), "/v1/in-force?version=1&wait-ms=5000")
          .body);
  CHECK(in_force["in_force"] == kDaemons);
  for (uint32_t n = 1; n <= kDaemons; ++n) {
    const auto answer =
        test.fleet.Get(test.fleet.Callers(n), "/proofs/7?size=100");
    CHECK(answer.status == 200);
    CHECK(answer.body.size() == 100);
    CHECK(FindHeader(answer.headers, header::kOutcome) == "ran");
  }
}

TEST_CASE("whole path: large and streamed answers arrive whole") {
  WholePath test;
  const auto answer =
      test.fleet.Get(test.fleet.Callers(1), "/proofs/7?size=8000000&chunks=50");
  CHECK(answer.status == 200);
  CHECK(answer.body.size() == 8'000'000);
}

TEST_CASE("whole path: an unknown route is refused and was not run") {
  WholePath test;
  const auto answer = test.fleet.Get(test.fleet.Callers(1), "/nowhere");
  CHECK(answer.status == 404);
  CHECK(FindHeader(answer.headers, header::kOutcome) == "not-run");
}

TEST_CASE("whole path: a killed daemon's callers use the others") {
  WholePath test;
  test.fleet.Signal("daemon-3", SIGKILL);
  for (int i = 0; i < 20; ++i) {
    CHECK(test.fleet.Get(test.fleet.Callers(1), "/proofs/7").status == 200);
  }
}

TEST_CASE("whole path: SIGTERM ends a daemon with status 0") {
  WholePath test;
  test.fleet.Signal("daemon-3", SIGTERM);
  CHECK(test.fleet.WaitForExit("daemon-3", 20s) == 0);
}

TEST_CASE("whole path: usage errors exit with status 2") {
  ProcessFleet fleet;
  fleet.StartProgram("bad-flag", "buckthorncartd", {"--no-such-flag"});
  CHECK(fleet.WaitForExit("bad-flag", 10s) == 2);
  fleet.StartProgram("bad-tool", "buckthorncart", {"--daemon", "x", "daemons"});
  CHECK(fleet.WaitForExit("bad-tool", 10s) == 2);
}

TEST_CASE("whole path: an address in use is a typed failure") {
  WholePath test;
  test.fleet.StartProgram(
      "second", "buckthorncartd",
      {"--peer-address", test.fleet.Callers(1).ToString(), "--callers",
       test.fleet.Operators(1).ToString(), "--operators",
       test.fleet.Operators(9).ToString(), "--backend-server",
       test.fleet.Backend(1).ToString(), "--data-centre", "nl-west-a"});
  CHECK(test.fleet.WaitForExit("second", 10s) == 1);
}

}  // namespace
}  // namespace buckthorncart
