#include "Net/http_server.h"

#include <arpa/inet.h>
#include <doctest/doctest.h>
#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

#include "Net/http_server_handler.h"
#include "Net/loop.h"

namespace buckthorncart {
namespace {

constexpr int kFdLimit = 64;
constexpr const char* kIp = "127.61.7.9";
constexpr uint16_t kPort = 18'371;

class SilentHandler : public HttpServerHandler {
 public:
  void OnRequest(uint64_t /*id*/, HttpRequest /*request*/) override {}
  void OnClientDisconnected(uint64_t /*id*/) override {}
  void OnDrained(uint64_t /*id*/, uint64_t /*bytes*/) override {}
  AnswerPart MakeRefusal(ReadState /*fault*/) override { return {}; }
};

bool TakesConnections() {
  const int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  sockaddr_in name{};
  name.sin_family = AF_INET;
  inet_pton(AF_INET, kIp, &name.sin_addr);
  name.sin_port = htons(kPort);
  const bool taken =
      connect(fd, reinterpret_cast<sockaddr*>(&name), sizeof(name)) == 0;
  close(fd);
  return taken;
}

TEST_CASE("server: a bound address refuses connections until it listens") {
  Loop loop(kFdLimit);
  SilentHandler handler;
  HttpServer server(loop, {}, handler);
  const Address address = *Address::Parse(kIp + (":" + std::to_string(kPort)));
  REQUIRE(server.Bind("callers", address));
  CHECK(!TakesConnections());
  REQUIRE(server.StartListening());
  CHECK(TakesConnections());

  HttpServer other(loop, {}, handler);
  const auto taken = other.Listen("others", address);
  REQUIRE(!taken);
  CHECK(taken.error().code == Errc::kAddressInUse);
  // As at the end of `Run`, while the servers are still there.
  loop.Close();
}

}  // namespace
}  // namespace buckthorncart
