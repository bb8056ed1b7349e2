#include "EndToEnd/client_crowd.h"

#include <arpa/inet.h>
#include <fcntl.h>
#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <array>
#include <cerrno>
#include <cstdio>
#include <filesystem>
#include <fstream>
#include <sstream>
#include <string>
#include <string_view>
#include <thread>

#include "Net/loop.h"

namespace buckthorncart {
namespace {

constexpr size_t kTurnBytes = 65'536;
constexpr Duration kPause = 5ms;

/// Returns the bytes at `offset` of the traffic, up to the end of a piece.
std::string_view BytesAt(const CrowdTraffic& traffic, size_t offset) {
  const size_t head = traffic.head.size();
  if (offset < head) return std::string_view(traffic.head).substr(offset);
  if (traffic.piece.empty()) return {};
  const size_t in_pieces = offset - head;
  if (in_pieces / traffic.piece.size() >= traffic.repeats) return {};
  return std::string_view(traffic.piece)
      .substr(in_pieces % traffic.piece.size());
}

}  // namespace

ClientCrowd::ClientCrowd(Address to, int connections) {
  sockaddr_in name{};
  name.sin_family = AF_INET;
  name.sin_addr.s_addr = htonl(to.ip);
  name.sin_port = htons(to.port);
  for (int i = 0; i < connections; ++i) {
    const int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    if (connect(fd, reinterpret_cast<sockaddr*>(&name), sizeof(name)) != 0) {
      close(fd);
      continue;
    }
    fcntl(fd, F_SETFL, O_NONBLOCK);
    clients_.push_back({fd});
  }
}

ClientCrowd::~ClientCrowd() {
  for (const Client& client : clients_) close(client.fd);
}

void ClientCrowd::Send(const CrowdTraffic& traffic) {
  for (Client& client : clients_) client.offset = 0;
  Time last_progress = Loop::Now();
  while (Loop::Now() - last_progress < kQuietTime) {
    bool progress = false;
    for (Client& client : clients_) {
      if (!client.finished) progress = SendTurn(client, traffic) || progress;
    }
    if (progress) {
      last_progress = Loop::Now();
    } else {
      std::this_thread::sleep_for(kPause);
    }
  }
}

bool ClientCrowd::SendTurn(Client& client, const CrowdTraffic& traffic) {
  size_t sent = 0;
  while (sent < kTurnBytes) {
    const std::string_view bytes = BytesAt(traffic, client.offset);
    if (bytes.empty()) break;
    const size_t n = std::min(bytes.size(), kTurnBytes);
    const ssize_t accepted = send(client.fd, bytes.data(), n, MSG_NOSIGNAL);
    if (accepted <= 0) {
      client.finished = errno != EAGAIN && errno != EWOULDBLOCK;
      break;
    }
    sent += static_cast<size_t>(accepted);
    client.offset += static_cast<size_t>(accepted);
  }
  sent_bytes_ += sent;
  return sent > 0;
}

size_t OpenDescriptors(int pid) {
  std::error_code ec;
  const std::filesystem::directory_iterator entries(
      "/proc/" + std::to_string(pid) + "/fd", ec);
  if (ec) return 0;
  return static_cast<size_t>(
      std::distance(begin(entries), std::filesystem::directory_iterator()));
}

uint64_t UnreadBytes(Address local) {
  constexpr int kHex = 16;
  /// Established, FIN-WAIT-1 and -2, CLOSE-WAIT: the process has them open.
  constexpr std::array<std::string_view, 4> kOpenStates = {"01", "04", "05",
                                                           "08"};
  std::array<char, kHex> expected{};
  std::snprintf(expected.data(), expected.size(), "%08X:%04X", htonl(local.ip),
                static_cast<unsigned>(local.port));
  std::ifstream table("/proc/net/tcp");
  std::string line;
  uint64_t sum = 0;
  while (std::getline(table, line)) {
    std::istringstream fields(line);
    std::string slot;
    std::string address;
    std::string remote;
    std::string state;
    std::string queues;
    fields >> slot >> address >> remote >> state >> queues;
    const bool is_open = std::find(kOpenStates.begin(), kOpenStates.end(),
                                   state) != kOpenStates.end();
    if (address != expected.data() || !is_open) continue;
    sum += std::stoull(queues.substr(queues.find(':') + 1), nullptr, kHex);
  }
  return sum;
}

}  // namespace buckthorncart
