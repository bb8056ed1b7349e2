#include <doctest/doctest.h>
#include <signal.h>

#include <nlohmann/json.hpp>

#include "EndToEnd/process_fleet.h"
#include "EndToEnd/route_fleet.h"

namespace buckthorncart {
namespace {

constexpr uint32_t kDaemons = 3;

TEST_CASE("whole path: a backend server on another VM answers a caller") {
  RouteFleet test(kDaemons);
  const auto in_force =
      nlohmann::json::parse(test.Processes()
                                .Get(test.Processes().Operators(2),
                                     "/v1/in-force?version=1&wait-ms=5000")
                                .body);
  CHECK(in_force["in_force"] == kDaemons);
  for (uint32_t n = 1; n <= kDaemons; ++n) {
    const auto answer =
        test.Processes().Get(test.Processes().Callers(n), "/proofs/7?size=100");
    CHECK(answer.status == 200);
    CHECK(answer.body.size() == 100);
    CHECK(FindHeader(answer.headers, header::kOutcome) == "ran");
  }
}

TEST_CASE("whole path: large and streamed answers arrive whole") {
  RouteFleet test(kDaemons);
  const auto answer = test.Processes().Get(test.Processes().Callers(1),
                                           "/proofs/7?size=8000000&chunks=50");
  CHECK(answer.status == 200);
  CHECK(answer.body.size() == 8'000'000);
}

TEST_CASE("whole path: an unknown route is refused and was not run") {
  RouteFleet test(kDaemons);
  const auto answer =
      test.Processes().Get(test.Processes().Callers(1), "/nowhere");
  CHECK(answer.status == 404);
  CHECK(FindHeader(answer.headers, header::kOutcome) == "not-run");
}

TEST_CASE("whole path: a killed daemon's callers use the others") {
  RouteFleet test(kDaemons);
  test.Processes().Signal("daemon-3", SIGKILL);
  for (int i = 0; i < 20; ++i) {
    CHECK(
        test.Processes().Get(test.Processes().Callers(1), "/proofs/7").status ==
        200);
  }
}

TEST_CASE("whole path: SIGTERM ends a daemon with status 0") {
  RouteFleet test(kDaemons);
  test.Processes().Signal("daemon-3", SIGTERM);
  CHECK(test.Processes().WaitForExit("daemon-3", 20s) == 0);
}

TEST_CASE("whole path: usage errors exit with status 2") {
  ProcessFleet fleet;
  fleet.StartProgram("bad-flag", "buckthorncartd", {"--no-such-flag"});
  CHECK(fleet.WaitForExit("bad-flag", 10s) == 2);
  fleet.StartProgram("bad-tool", "buckthorncart", {"--daemon", "x", "daemons"});
  CHECK(fleet.WaitForExit("bad-tool", 10s) == 2);
}

TEST_CASE("whole path: an address in use ends the start with status 1") {
  RouteFleet test(kDaemons);
  test.Processes().StartProgram(
      "second", "buckthorncartd",
      {"--peer-address", test.Processes().Callers(1).ToString(), "--callers",
       test.Processes().Operators(1).ToString(), "--operators",
       test.Processes().Operators(9).ToString(), "--backend-server",
       test.Processes().Backend(1).ToString(), "--data-centre", "nl-west-a"});
  CHECK(test.Processes().WaitForExit("second", 10s) == 1);
}

}  // namespace
}  // namespace buckthorncart
