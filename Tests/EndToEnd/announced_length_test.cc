/// \file
/// A backend server whose answer announces a body of any length. Guards against
/// a daemon that ends because it reserves memory for it.

#include <doctest/doctest.h>

#include <string>

#include "EndToEnd/process_fleet.h"
#include "Support/raw_answer_server.h"

namespace buckthorncart {
namespace {

constexpr uint16_t kHttpOk = 200;

/// Sends a request whose answer announces `length`, through `daemons` daemons,
/// and checks that all of them still serve.
void CheckDaemonsSurvive(uint32_t daemons, const std::string& length) {
  CAPTURE(length);
  CAPTURE(daemons);
  ProcessFleet fleet;
  fleet.StartPlatform();
  for (uint32_t n = 1; n <= daemons; ++n) fleet.StartDaemon(n, daemons);
  const RawAnswerServer backend(
      fleet.Backend(daemons),
      "HTTP/1.1 200 OK\r\nContent-Length: " + length + "\r\n\r\nfirst bytes");
  REQUIRE(backend.IsListening());
  const auto is_ready = [&fleet](uint32_t n) {
    return fleet.Get(fleet.Operators(n), "/ready").status == kHttpOk;
  };
  REQUIRE(WaitFor([&] { return is_ready(daemons); }));
  REQUIRE(fleet
              .Post(fleet.Operators(1), "/v1/changes",
                    "create service vet-intake\n"
                    "create route p path=/p service=vet-intake timeout=30s")
              .status == kHttpOk);
  // Until the backend server is known, requests are refused with 404 or 503.
  CHECK(WaitFor([&] {
    fleet.Post(fleet.Operators(daemons), "/v1/backend-server",
               R"({"service":"vet-intake","state":"ready","slots":4})");
    const uint16_t status = fleet.Post(fleet.Callers(1), "/p/1", "x").status;
    return status != 404 && status != 503;
  }));
  for (uint32_t n = 1; n <= daemons; ++n) CHECK(is_ready(n));
}

TEST_CASE("bad input: an answer that announces any length ends no daemon") {
  for (const char* length : {"900000000000", "9223372036854775800",
                             "18446744073709551615", "2000000000"}) {
    CheckDaemonsSurvive(1, length);
  }
  CheckDaemonsSurvive(2, "900000000000");
}

}  // namespace
}  // namespace buckthorncart
