#include <doctest/doctest.h>

#include <string>
#include <vector>

#include "EndToEnd/process_fleet.h"

namespace buckthorncart {
namespace {

constexpr size_t kLargestBodyBytes = 64U << 20U;
/// Memory of the smallest VM of a daemon that has to take the largest body.
constexpr uint64_t kMaxPeakKiB = 256 * 1'024;

/// Daemons that accept the largest bodies; the last one has a backend server.
struct UploadFleet {
  explicit UploadFleet(uint32_t daemons) {
    fleet.StartPlatform();
    for (uint32_t n = 1; n <= daemons; ++n) {
      pids.push_back(fleet.StartDaemon(
          n, daemons, {"--body-limit", std::to_string(kLargestBodyBytes)}));
    }
    fleet.StartBackendServer(daemons, "vet-intake");
    REQUIRE(WaitFor([this] {
      return fleet.Get(fleet.Operators(1), "/ready").status == 200;
    }));
    const auto answer =
        fleet.Post(fleet.Operators(1), "/v1/changes",
                   "create service vet-intake\n"
                   "create route p path=/p service=vet-intake timeout=30s");
    REQUIRE(answer.status == 200);
    REQUIRE(WaitFor(
        [this] { return fleet.Get(fleet.Callers(1), "/p/1").status == 200; }));
  }

  ProcessFleet fleet;
  std::vector<pid_t> pids;
};

// An upload of the largest size was copied at each step through the daemon,
// which ended it for lack of memory, and with it the requests of all others.
TEST_CASE("large body: the largest upload is held in memory once") {
  for (const uint32_t daemons : {1U, 2U}) {
    UploadFleet test(daemons);
    const auto answer = test.fleet.Fetch(
        test.fleet.Callers(1),
        {"POST", "/p/1", {}, std::string(kLargestBodyBytes, 'b')}, 30s);
    CHECK(answer.status == 200);
    for (const pid_t pid : test.pids) {
      const uint64_t peak = PeakMemoryKiB(pid);
      MESSAGE(daemons << " daemons, peak memory " << peak << " KiB");
      CHECK(peak > 0);
      CHECK(peak <= kMaxPeakKiB);
    }
  }
}

}  // namespace
}  // namespace buckthorncart
