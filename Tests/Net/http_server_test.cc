#include "Net/http_server.h"

#include <arpa/inet.h>
#include <doctest/doctest.h>
#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

#include <functional>
#include <string>
#include <string_view>
#include <vector>

#include "Net/http_server_handler.h"
#include "Net/loop.h"

namespace buckthorncart {
namespace {

constexpr int kFdLimit = 64;
constexpr const char* kIp = "127.61.7.9";
/// Tests run at the same time, so that each has a port of its own.
constexpr uint16_t kBoundPort = 18'371;
constexpr uint16_t kSlowClientPort = 18'372;

Address ServerAddress(uint16_t port) {
  return *Address::Parse(kIp + (":" + std::to_string(port)));
}

class NoOpHandler : public HttpServerHandler {
 public:
  void OnRequest(uint64_t /*id*/, HttpRequest /*request*/) override {}
  void OnClientDisconnected(uint64_t /*id*/) override {}
  void OnAnswerBytesWritten(uint64_t /*id*/, uint64_t /*bytes*/) override {}
  AnswerPart MakeErrorAnswer(ReadState /*fault*/) override { return {}; }
};

/// Answers each request at once with a body of `kAnswerBytes`.
class LargeAnswerHandler : public NoOpHandler {
 public:
  static constexpr size_t kAnswerBytes = 16'000'000;
  void SetServer(HttpServer& server) { server_ = &server; }
  void OnRequest(uint64_t id, HttpRequest /*request*/) override {
    AnswerPart part;
    part.status = 200;
    part.body = std::string(kAnswerBytes, 'x');
    part.end = AnswerEnd::kComplete;
    server_->Answer(id, std::move(part), closes_);
  }
  void SetCloses(bool closes) { closes_ = closes; }

 private:
  HttpServer* server_ = nullptr;
  bool closes_ = false;
};

/// Connects with a small window and sends a request.
int SendRequestOnNarrowLink() {
  const int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  const int window = 8'192;
  setsockopt(fd, SOL_SOCKET, SO_RCVBUF, &window, sizeof(window));
  sockaddr_in socket_address{};
  socket_address.sin_family = AF_INET;
  inet_pton(AF_INET, kIp, &socket_address.sin_addr);
  socket_address.sin_port = htons(kSlowClientPort);
  REQUIRE(connect(fd, reinterpret_cast<sockaddr*>(&socket_address),
                  sizeof(socket_address)) == 0);
  constexpr std::string_view kRequest = "GET / HTTP/1.1\r\nHost: x\r\n\r\n";
  REQUIRE(write(fd, kRequest.data(), kRequest.size()) > 0);
  return fd;
}

/// Reads what has arrived; returns the number of bytes.
size_t ReadAvailable(int fd) {
  std::vector<char> buf(1U << 20U);
  size_t sum = 0;
  while (true) {
    const ssize_t n = recv(fd, buf.data(), buf.size(), MSG_DONTWAIT);
    if (n <= 0) return sum;
    sum += static_cast<size_t>(n);
  }
}

// Review case 6: a planned stop ended the process as soon as the last answer
// had been formatted, and what a slow client had not read yet was lost.
TEST_CASE("server: not idle until a slow client has got its last answer") {
  for (const bool closes : {false, true}) {
    CAPTURE(closes);
    Loop loop(kFdLimit);
    LargeAnswerHandler handler;
    HttpServer server(loop, {}, handler);
    handler.SetServer(server);
    handler.SetCloses(closes);
    REQUIRE(server.Listen("callers", ServerAddress(kSlowClientPort)));
    const int fd = SendRequestOnNarrowLink();
    size_t received = 0;
    size_t received_when_idle = 0;
    bool answered = false;
    loop.RunIn(300ms, [&] { answered = true; });
    const std::function<void()> check = [&] {
      if (answered && server.IsIdle()) {
        received_when_idle = received;
        loop.Stop();
        return;
      }
      if (answered) received += ReadAvailable(fd);
      loop.RunIn(5ms, check);
    };
    loop.RunIn(5ms, check);
    loop.RunIn(20s, [&loop] { loop.Stop(); });
    loop.Run();
    // What is left is with the operating system, which sends it.
    constexpr size_t kMaxSocketBytes = 6'000'000;
    CHECK(received_when_idle + kMaxSocketBytes >
          LargeAnswerHandler::kAnswerBytes);
    close(fd);
  }
}

bool AcceptsConnections() {
  const int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  sockaddr_in socket_address{};
  socket_address.sin_family = AF_INET;
  inet_pton(AF_INET, kIp, &socket_address.sin_addr);
  socket_address.sin_port = htons(kBoundPort);
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
  const Address address = ServerAddress(kBoundPort);
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
