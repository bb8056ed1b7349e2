#include <doctest/doctest.h>

#include "EndToEnd/raw_connection.h"
#include "EndToEnd/route_fleet.h"

namespace buckthorncart {
namespace {

constexpr uint32_t kDaemons = 3;

double Sum(RouteFleet& test, const std::string& name) {
  double sum = 0;
  for (uint32_t n = 1; n <= kDaemons; ++n) sum += test.Metric(n, name);
  return sum;
}

TEST_CASE("slow caller: an answer pauses at its source and arrives whole") {
  RouteFleet test(kDaemons);
  constexpr size_t kAnswerBytes = 48'000'000;
  RawConnection connection(test.Processes().Callers(1));
  connection.Send("GET /proofs/7?size=" + std::to_string(kAnswerBytes) +
                  "&chunks=800 HTTP/1.1\r\nHost: x\r\n"
                  "Connection: close\r\n\r\n");
  // The caller does not read, so the admitting daemon must stop reading too.
  CHECK(WaitFor([&] { return Sum(test, "answer_pauses_total") >= 1; }));
  CHECK(Sum(test, "peer_sent_bytes_total") < kAnswerBytes / 2.0);
  // Other callers are still served.
  CHECK(test.Processes().Get(test.Processes().Callers(1), "/proofs/8").status ==
        200);
  const std::string answer = connection.ReceiveUntilClosed(30s);
  CHECK(answer.size() > kAnswerBytes);
  CHECK(answer.ends_with("0\r\n\r\n"));
}

}  // namespace
}  // namespace buckthorncart
