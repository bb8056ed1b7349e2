#pragma once
/// \file
/// IPv4 addresses of the test network.

#include <arpa/inet.h>
#include <netinet/in.h>

#include <cstdint>
#include <string>

namespace review {

struct Address {
  std::string ip;
  uint16_t port = 0;

  std::string ToString() const { return ip + ":" + std::to_string(port); }
  sockaddr_in ToSocketAddress() const {
    sockaddr_in socket_address{};
    socket_address.sin_family = AF_INET;
    socket_address.sin_port = htons(port);
    inet_pton(AF_INET, ip.c_str(), &socket_address.sin_addr);
    return socket_address;
  }
};

}  // namespace review
