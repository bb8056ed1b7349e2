#pragma once

/// \file
/// Loopback addresses and connections.

#include <arpa/inet.h>
#include <netinet/tcp.h>
#include <sys/socket.h>
#include <unistd.h>

#include <cstdint>
#include <string>

namespace review {

struct Endpoint {
  std::string ip;
  uint16_t port = 0;
  std::string Text() const { return ip + ":" + std::to_string(port); }
};

inline std::string HostIp(int n) {
  const auto pid = static_cast<unsigned>(getpid());
  return "127." + std::to_string(64 + (pid >> 8U) % 128) + "." +
         std::to_string(pid & 0xFFU) + "." + std::to_string(n);
}

inline sockaddr_in ToSocketAddress(const Endpoint& endpoint) {
  sockaddr_in name{};
  name.sin_family = AF_INET;
  name.sin_port = htons(endpoint.port);
  inet_pton(AF_INET, endpoint.ip.c_str(), &name.sin_addr);
  return name;
}

inline int Connect(const Endpoint& to, const std::string& from = {}) {
  const int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  const int on = 1;
  setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
  if (!from.empty()) {
    const sockaddr_in own = ToSocketAddress({from, 0});
    bind(fd, reinterpret_cast<const sockaddr*>(&own), sizeof(own));
  }
  const sockaddr_in name = ToSocketAddress(to);
  if (connect(fd, reinterpret_cast<const sockaddr*>(&name), sizeof(name)) ==
      0) {
    return fd;
  }
  close(fd);
  return -1;
}

/// Closes a connection with a reset.
inline void ResetClose(int fd) {
  const linger reset{1, 0};
  setsockopt(fd, SOL_SOCKET, SO_LINGER, &reset, sizeof(reset));
  close(fd);
}

inline bool SendAll(int fd, const std::string& bytes) {
  size_t sent = 0;
  while (sent < bytes.size()) {
    const ssize_t n =
        send(fd, bytes.data() + sent, bytes.size() - sent, MSG_NOSIGNAL);
    if (n <= 0) return false;
    sent += static_cast<size_t>(n);
  }
  return true;
}

}  // namespace review
