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

class NoOpHandler : public HttpServerHandler {
 public:
  void OnRequest(uint64_t /*id*/, HttpRequest /*request*/) override {}
  void OnClientDisconnected(uint64_t /*id*/) override {}
  void OnAnswerBytesWritten(uint64_t /*id*/, uint64_t /*bytes*/) override {}
  AnswerPart MakeErrorAnswer(ReadState /*fault*/) override { return {}; }
};

bool AcceptsConnections() {
  const int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  sockaddr_in socket_address{};
  socket_address.sin_family = AF_INET;
  inet_pton(AF_INET, kIp, &socket_address.sin_addr);
  socket_address.sin_port = htons(kPort);
  const bool connected =
      connect(fd, reinterpret_cast<sockaddr*>(&socket_address),
              sizeof(socket_address)) == 0;
  close(fd);
  return connected;
}

TEST_CASE("server: a bound address refuses connections until it listens") {
  Loop loop(kFdLimit);
  NoOpHandler handler;
  HttpServer server(loop, {}, handler);
  const Address address = *Address::Parse(kIp + (":" + std::to_string(kPort)));
  REQUIRE(server.Bind("callers", address));
  CHECK(!AcceptsConnections());
  REQUIRE(server.StartListening());
  CHECK(AcceptsConnections());

  HttpServer other(loop, {}, handler);
  const auto listening = other.Listen("others", address);
  REQUIRE(!listening);
  CHECK(listening.error().code == Errc::kAddressInUse);
  // Like `Run`, closes the loop before the servers are destroyed.
  loop.Close();
}

}  // namespace
}  // namespace buckthorncart
