#include <doctest/doctest.h>

#include <pcg_random.hpp>

#include "EndToEnd/raw_connection.h"
#include "EndToEnd/route_fleet.h"
#include "Wire/codec.h"
#include "Wire/frame_reader.h"
#include "Wire/peer_messages.h"

namespace buckthorncart {
namespace {

constexpr uint32_t kDaemons = 3;

Address PeerAddress(RouteFleet& test, uint32_t n) {
  constexpr uint16_t kPeerPort = 7400;
  Address address = test.Processes().Callers(n);
  address.port = kPeerPort;
  return address;
}

void CheckStillServes(RouteFleet& test) {
  for (uint32_t n = 1; n <= kDaemons; ++n) {
    CHECK(
        test.Processes().Get(test.Processes().Callers(n), "/proofs/7").status ==
        200);
  }
}

TEST_CASE("bad input: a malformed frame closes only its own connection") {
  RouteFleet test(kDaemons);
  const std::string faults[] = {
      std::string("\xff\xff\xff\xff", 4), MakeFrame("\xc1"),
      MakeFrame(Encode(PeerMessage(Ping{1}))),
      MakeFrame(Encode(PeerMessage(Hello{{1, 1}, 1}))) + MakeFrame("junk")};
  for (const std::string& fault : faults) {
    const double before = test.Metric(2, "bad_frames_total");
    RawConnection connection(PeerAddress(test, 2));
    REQUIRE(connection.IsOpen());
    connection.Send(fault);
    CHECK(connection.IsClosedWithin(5s));
    CHECK(test.Metric(2, "bad_frames_total") == before + 1);
  }
  CheckStillServes(test);
}

TEST_CASE("bad input: a truncated frame does not interrupt service") {
  RouteFleet test(kDaemons);
  {
    RawConnection connection(PeerAddress(test, 2));
    const std::string frame = MakeFrame(Encode(PeerMessage(Hello{})));
    connection.Send(frame.substr(0, frame.size() - 1));
  }
  CheckStillServes(test);
}

TEST_CASE(
    "bad input: random bytes on every listener do not interrupt service") {
  RouteFleet test(kDaemons);
  pcg32 random(7);
  for (int i = 0; i < 60; ++i) {
    std::string bytes;
    const uint32_t n = random(2'000);
    for (uint32_t j = 0; j < n; ++j) {
      bytes.push_back(static_cast<char>(random(256)));
    }
    const Address listeners[] = {PeerAddress(test, 2),
                                 test.Processes().Callers(2),
                                 test.Processes().Operators(2)};
    RawConnection connection(listeners[i % 3]);
    REQUIRE(connection.IsOpen());
    connection.Send(bytes);
  }
  CheckStillServes(test);
}

TEST_CASE("bad input: a body over the limit is refused and was not run") {
  RouteFleet test(kDaemons);
  const auto answer = test.Processes().Post(
      test.Processes().Callers(1), "/proofs/7", std::string(3U << 20U, 'x'));
  CHECK(answer.status == 413);
  CHECK(FindHeader(answer.headers, header::kOutcome) == "not-run");
  CHECK(FindHeader(answer.headers, header::kReason) == "body-too-large");
}

TEST_CASE(
    "bad input: a body with malformed chunks is refused and was not run") {
  RouteFleet test(kDaemons);
  RawConnection connection(test.Processes().Callers(1));
  connection.Send(
      "POST /proofs/7 HTTP/1.1\r\nHost: x\r\n"
      "Transfer-Encoding: chunked\r\n\r\nzz\r\nabc\r\n0\r\n\r\n");
  const std::string answer = connection.ReceiveUntilClosed(5s);
  CHECK(answer.starts_with("HTTP/1.1 400"));
  CHECK(answer.find("not-run") != std::string::npos);
}

TEST_CASE("bad input: a body with two kinds of framing is refused") {
  RouteFleet test(kDaemons);
  RawConnection connection(test.Processes().Callers(1));
  connection.Send(
      "POST /proofs/7 HTTP/1.1\r\nHost: x\r\nContent-Length: 3\r\n"
      "Transfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n0\r\n\r\n");
  const std::string answer = connection.ReceiveUntilClosed(5s);
  CHECK(answer.starts_with("HTTP/1.1 400"));
  CHECK(answer.find("not-run") != std::string::npos);
}

TEST_CASE("bad input: a header over the limit closes the connection") {
  RouteFleet test(kDaemons);
  RawConnection connection(test.Processes().Callers(1));
  connection.Send("GET /proofs/7 HTTP/1.1\r\nHost: x\r\nCookie: " +
                  std::string(200'000, 'c') + "\r\n\r\n");
  const std::string answer = connection.ReceiveUntilClosed(5s);
  CHECK(answer.find("200 OK") == std::string::npos);
  CheckStillServes(test);
}

TEST_CASE("bad input: an invalid deadline is refused and was not run") {
  RouteFleet test(kDaemons);
  for (const char* deadline : {"soon", "-1", "0", "99999999999"}) {
    const auto answer = test.Processes().Fetch(
        test.Processes().Callers(1),
        {"GET", "/proofs/7", {{std::string(header::kDeadline), deadline}}, ""});
    CHECK(answer.status >= 400);
    CHECK(FindHeader(answer.headers, header::kOutcome) == "not-run");
  }
}

}  // namespace
}  // namespace buckthorncart
