#include <doctest/doctest.h>

#include <fstream>
#include <memory>

#include "EndToEnd/process_fleet.h"
#include "EndToEnd/slow_reader.h"

namespace buckthorncart {
namespace {

constexpr size_t kBytes = 8'000'000;
constexpr const char* kPath = "/p/1?size=8000000";
constexpr uint32_t kReaders = 48;

/// Largest memory that a process has used, KiB.
uint64_t PeakMemoryKiB(pid_t pid) {
  std::ifstream in("/proc/" + std::to_string(pid) + "/status");
  std::string line;
  constexpr std::string_view kField = "VmHWM:";
  while (std::getline(in, line)) {
    if (!line.starts_with(kField)) continue;
    return std::strtoull(line.c_str() + kField.size(), nullptr, 10);
  }
  return 0;
}

/// Two daemons with a backend server beside the second.
struct TwoDaemons {
  explicit TwoDaemons(const std::vector<std::string>& flags) {
    fleet.StartPlatform();
    receiving = fleet.StartDaemon(1, 2, flags);
    fleet.StartDaemon(2, 2, flags);
    fleet.StartBackendServer(2, "catalogus", {"--slots", "64"});
    REQUIRE(WaitFor([this] {
      return fleet.Get(fleet.Operators(1), "/ready").status == 200;
    }));
    REQUIRE(fleet
                .Post(fleet.Operators(1), "/v1/changes",
                      "create service catalogus\n"
                      "create route p path=/p service=catalogus")
                .status == 200);
    REQUIRE(WaitFor(
        [this] { return fleet.Get(fleet.Callers(1), "/p/1").status == 200; }));
  }
  ProcessFleet fleet;
  pid_t receiving = 0;
};

struct SlowReaders {
  uint64_t peak_kib = 0;
  uint64_t whole = 0;
  bool other_is_whole = false;
};

/// Many callers leave large answers unread, another one reads its own.
SlowReaders RunSlowReaders(const std::vector<std::string>& flags) {
  TwoDaemons test(flags);
  std::vector<std::unique_ptr<SlowReader>> readers;
  for (uint32_t i = 0; i < kReaders; ++i) {
    readers.push_back(
        std::make_unique<SlowReader>(test.fleet.Callers(1), kPath));
    // The head has arrived, so that its answer is on the way.
    REQUIRE(readers.back()->Read(100) == 100);
  }
  SlowReaders result;
  const auto other = test.fleet.Get(test.fleet.Callers(1), kPath);
  result.other_is_whole = other.status == 200 && other.body.size() == kBytes;
  for (const auto& reader : readers) {
    if (reader->Read(2 * kBytes) >= kBytes - 100) ++result.whole;
  }
  result.peak_kib = PeakMemoryKiB(test.receiving);
  MESSAGE("peak " << result.peak_kib << " KiB, whole " << result.whole << " of "
                  << kReaders);
  return result;
}

/// Two windows for each slow caller and what else a daemon may use.
constexpr uint64_t kMaxPeakKiB = 80 * 1'024;

TEST_CASE("answers: memory is bounded when callers do not read") {
  const SlowReaders result = RunSlowReaders({});
  CHECK(result.peak_kib <= kMaxPeakKiB);
  CHECK(result.other_is_whole);
  CHECK(result.whole == kReaders);
}

TEST_CASE("answers control: without a window memory grows") {
  const SlowReaders result =
      RunSlowReaders({"--answer-window-bytes", "4000000000"});
  CHECK(result.peak_kib > kMaxPeakKiB);
}

}  // namespace
}  // namespace buckthorncart
