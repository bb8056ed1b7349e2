#include <doctest/doctest.h>

#include "EndToEnd/raw_connection.h"
#include "EndToEnd/route_fleet.h"

namespace buckthorncart {
namespace {

TEST_CASE("chunked body: it is forwarded and the connection is kept") {
  RouteFleet test(3);
  RawConnection connection(test.Processes().Callers(1));
  connection.Send(
      "POST /proofs/7?echo=yes HTTP/1.1\r\nHost: x\r\n"
      "Transfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n2\r\nde\r\n0\r\n\r\n"
      "GET /proofs/8 HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n");
  const std::string answers = connection.ReceiveUntilClosed(5s);
  CHECK(answers.starts_with("HTTP/1.1 200"));
  // The next request on the same connection is answered too.
  CHECK(answers.find("HTTP/1.1 200", 1) != std::string::npos);
}

}  // namespace
}  // namespace buckthorncart
