#include <doctest/doctest.h>

#include <memory>
#include <string>
#include <thread>
#include <vector>

#include "EndToEnd/process_fleet.h"
#include "EndToEnd/raw_connection.h"

namespace buckthorncart {
namespace {

constexpr size_t kLargestBodyBytes = 64U << 20U;
/// Memory of the smallest VM of a daemon that has to take the largest body.
constexpr uint64_t kMaxPeakKiB = 256 * 1'024;
constexpr int kUploads = 6;
const std::string kLargestUploadHead =
    "POST /p/1 HTTP/1.1\r\nhost: h\r\ncontent-length: " +
    std::to_string(kLargestBodyBytes) + "\r\n\r\n";

/// Daemons that accept the largest bodies; the last one has a backend server.
struct UploadFleet {
  explicit UploadFleet(uint32_t daemons, std::vector<std::string> flags = {}) {
    fleet.StartPlatform();
    flags.insert(flags.end(),
                 {"--body-limit", std::to_string(kLargestBodyBytes)});
    for (uint32_t n = 1; n <= daemons; ++n) {
      pids.push_back(fleet.StartDaemon(n, daemons, flags));
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

  bool ServesLargestUpload() {
    const HttpRequest request{
        "POST", "/p/1", {}, std::string(kLargestBodyBytes, 'b')};
    return fleet.Fetch(fleet.Callers(1), request, 30s).status == 200;
  }

  ProcessFleet fleet;
  std::vector<pid_t> pids;
};

// An upload of the largest size was copied at each step through the daemon,
// which ended it for lack of memory, and with it the requests of all others.
TEST_CASE("large body: the largest upload is held in memory once") {
  for (const uint32_t daemons : {1U, 2U}) {
    UploadFleet test(daemons);
    CHECK(test.ServesLargestUpload());
    for (const pid_t pid : test.pids) {
      const uint64_t peak = PeakMemoryKiB(pid);
      MESSAGE(daemons << " daemons, peak memory " << peak << " KiB");
      CHECK(peak > 0);
      CHECK(peak <= kMaxPeakKiB);
    }
  }
}

struct ManyUploadsResult {
  int refused = 0;
  int answered_otherwise = 0;
  bool other_served = false;
  uint64_t peak_kib = 0;
  /// Whether the largest upload was served after the others had been given up.
  bool later_served = false;
};

/// Sends most of the body of several uploads, each of which is within the
/// limits; all of them together exceed the memory of the VM.
ManyUploadsResult SendManyUploads(const std::vector<std::string>& flags) {
  constexpr size_t kSentBytes = 48U << 20U;
  UploadFleet test(1, flags);
  const std::string part(kSentBytes, 'b');
  std::vector<std::unique_ptr<RawConnection>> uploads;
  ManyUploadsResult result;
  for (int i = 0; i < kUploads; ++i) {
    uploads.push_back(std::make_unique<RawConnection>(test.fleet.Callers(1)));
    uploads.back()->Send(kLargestUploadHead + part);
    const std::string answer = uploads.back()->ReceiveUntilClosed(500ms);
    const bool is_refusal = answer.starts_with("HTTP/1.1 503 ") &&
                            answer.find("not-run") != std::string::npos &&
                            answer.find("retry-after") != std::string::npos;
    if (is_refusal) ++result.refused;
    if (!is_refusal && !answer.empty()) ++result.answered_otherwise;
  }
  result.other_served =
      test.fleet.Get(test.fleet.Callers(1), "/p/1").status == 200;
  uploads.clear();
  result.later_served = test.ServesLargestUpload();
  result.peak_kib = PeakMemoryKiB(test.pids[0]);
  return result;
}

TEST_CASE("large body: uploads beyond the memory are refused, others served") {
  const ManyUploadsResult result = SendManyUploads({});
  // At least one upload of the largest size fits.
  CHECK(result.refused > 0);
  CHECK(result.refused < kUploads);
  CHECK(result.answered_otherwise == 0);
  CHECK(result.other_served);
  CHECK(result.later_served);
  CHECK(result.peak_kib <= kMaxPeakKiB);
}

TEST_CASE("large body control: without a bound uploads exceed the memory") {
  const ManyUploadsResult result =
      SendManyUploads({"--body-memory-kib", "4194303"});
  CHECK(result.refused == 0);
  CHECK(result.peak_kib > kMaxPeakKiB);
}

// A length that is announced and never sent costs the others nothing.
TEST_CASE("large body: announced lengths alone do not take the memory") {
  constexpr int kConnections = 8;
  UploadFleet test(1);
  std::vector<std::unique_ptr<RawConnection>> silent;
  for (int i = 0; i < kConnections; ++i) {
    silent.push_back(std::make_unique<RawConnection>(test.fleet.Callers(1)));
    silent.back()->Send(kLargestUploadHead);
  }
  CHECK(test.ServesLargestUpload());
}

// A caller that keeps sending while its request is answered filled the memory.
TEST_CASE("large body: bytes sent during an answer are not read without end") {
  constexpr size_t kPieceBytes = 1U << 20U;
  constexpr int kPieces = 300;
  UploadFleet test(1);
  RawConnection connection(test.fleet.Callers(1));
  connection.Send("GET /p/1?time-ms=3000 HTTP/1.1\r\nhost: h\r\n\r\n");
  std::thread sender([&connection] {
    const std::string piece(kPieceBytes, 'b');
    for (int i = 0; i < kPieces; ++i) connection.Send(piece);
  });
  const std::string answer = connection.ReceiveUntilClosed(10s);
  sender.join();
  CHECK(answer.starts_with("HTTP/1.1 200 "));
  CHECK(test.fleet.Get(test.fleet.Callers(1), "/p/1").status == 200);
  const uint64_t peak = PeakMemoryKiB(test.pids[0]);
  MESSAGE("peak memory " << peak << " KiB");
  CHECK(peak <= kMaxPeakKiB);
}

}  // namespace
}  // namespace buckthorncart
