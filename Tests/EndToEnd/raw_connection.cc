#include "EndToEnd/raw_connection.h"

#include <arpa/inet.h>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

#include <array>

#include "Net/loop.h"

namespace buckthorncart {

RawConnection::RawConnection(Address to) {
  sockaddr_in name{};
  name.sin_family = AF_INET;
  name.sin_addr.s_addr = htonl(to.ip);
  name.sin_port = htons(to.port);
  fd_ = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  const bool connected =
      connect(fd_, reinterpret_cast<sockaddr*>(&name), sizeof(name)) == 0;
  if (connected) return;
  close(fd_);
  fd_ = -1;
}

RawConnection::~RawConnection() {
  if (fd_ >= 0) close(fd_);
}

void RawConnection::Send(std::string_view bytes) {
  while (!bytes.empty()) {
    const ssize_t n = send(fd_, bytes.data(), bytes.size(), MSG_NOSIGNAL);
    if (n <= 0) return;
    bytes.remove_prefix(static_cast<size_t>(n));
  }
}

std::string RawConnection::ReceiveUntilClosed(Duration timeout) {
  std::string received;
  const Time end = Loop::Now() + timeout;
  std::array<char, 65'536> buf;
  while (!closed_ && Loop::Now() < end) {
    pollfd item{fd_, POLLIN, 0};
    const auto left = static_cast<int>(ToMilliseconds(end - Loop::Now()));
    if (poll(&item, 1, left) <= 0) break;
    const ssize_t n = recv(fd_, buf.data(), buf.size(), 0);
    if (n <= 0) {
      closed_ = true;
      break;
    }
    received.append(buf.data(), static_cast<size_t>(n));
  }
  return received;
}

bool RawConnection::IsClosedWithin(Duration timeout) {
  ReceiveUntilClosed(timeout);
  return closed_;
}

}  // namespace buckthorncart
