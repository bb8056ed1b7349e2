#pragma once
/// \file
/// HTTP caller that reads its answer only on request of the test.

#include <arpa/inet.h>
#include <doctest/doctest.h>
#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <string>
#include <vector>

#include "Base/address.h"

namespace buckthorncart {

/// Sends a request and reads the answer only in calls of `Read`.
class SlowReader {
 public:
  SlowReader(Address to, const std::string& path)
      : fd_(socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0)) {
    sockaddr_in name{};
    name.sin_family = AF_INET;
    name.sin_addr.s_addr = htonl(to.ip);
    name.sin_port = htons(to.port);
    REQUIRE(connect(fd_, reinterpret_cast<sockaddr*>(&name), sizeof(name)) ==
            0);
    const std::string request = "GET " + path +
                                " HTTP/1.1\r\nHost: " + to.ToString() +
                                "\r\nConnection: close\r\n\r\n";
    REQUIRE(write(fd_, request.data(), request.size()) > 0);
  }
  ~SlowReader() { close(fd_); }
  SlowReader(const SlowReader&) = delete;
  SlowReader& operator=(const SlowReader&) = delete;

  /// Reads up to `limit` bytes; returns the number of bytes read before the
  /// end.
  size_t Read(size_t limit) {
    std::vector<char> buf(64 << 10U);
    size_t sum = 0;
    while (sum < limit) {
      const ssize_t n =
          read(fd_, buf.data(), std::min(buf.size(), limit - sum));
      if (n <= 0) break;
      sum += static_cast<size_t>(n);
    }
    return sum;
  }

 private:
  int fd_;
};

}  // namespace buckthorncart
