#pragma once
/// \file
/// Blocking TCP socket with timeouts.

#include <fcntl.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

#include <cerrno>
#include <string>
#include <string_view>
#include <utility>

#include "address.h"
#include "recorder.h"

namespace review {

/// Result of an attempt to receive bytes.
enum class Received { kBytes, kTimeout, kClosed };

class Socket {
 public:
  Socket() = default;
  explicit Socket(int fd) : fd_(fd) {}
  Socket(Socket&& other) noexcept : fd_(std::exchange(other.fd_, -1)) {}
  Socket& operator=(Socket&& other) noexcept {
    std::swap(fd_, other.fd_);
    return *this;
  }
  ~Socket() { Close(); }

  static Socket Make() {
    return Socket(socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0));
  }

  /// Limits the receive window and the segments to those of a narrow link. Call
  /// this before `Connect`.
  void SetNarrow(int receive_bytes, int segment_bytes) const {
    setsockopt(fd_, SOL_SOCKET, SO_RCVBUF, &receive_bytes,
               sizeof(receive_bytes));
    setsockopt(fd_, IPPROTO_TCP, TCP_MAXSEG, &segment_bytes,
               sizeof(segment_bytes));
  }

  bool Connect(const Address& to, Milliseconds timeout) const {
    const int flags = fcntl(fd_, F_GETFL);
    fcntl(fd_, F_SETFL, flags | O_NONBLOCK);
    const sockaddr_in address = to.ToSocketAddress();
    int rc = connect(fd_, reinterpret_cast<const sockaddr*>(&address),
                     sizeof(address));
    if (rc != 0 && errno == EINPROGRESS && Wait(POLLOUT, timeout)) {
      int error = 0;
      socklen_t size = sizeof(error);
      getsockopt(fd_, SOL_SOCKET, SO_ERROR, &error, &size);
      rc = error;
    }
    fcntl(fd_, F_SETFL, flags);
    return rc == 0;
  }

  bool Listen(const Address& at) const {
    constexpr int kBacklog = 512;
    const int on = 1;
    setsockopt(fd_, SOL_SOCKET, SO_REUSEADDR, &on, sizeof(on));
    const sockaddr_in address = at.ToSocketAddress();
    return bind(fd_, reinterpret_cast<const sockaddr*>(&address),
                sizeof(address)) == 0 &&
           listen(fd_, kBacklog) == 0;
  }

  /// Returns the next connection, or an invalid socket after the timeout.
  Socket Accept(Milliseconds timeout) const {
    if (!Wait(POLLIN, timeout)) return {};
    return Socket(accept4(fd_, nullptr, nullptr, SOCK_CLOEXEC));
  }

  bool Send(std::string_view bytes) const {
    while (!bytes.empty()) {
      const ssize_t n = send(fd_, bytes.data(), bytes.size(), MSG_NOSIGNAL);
      if (n <= 0) return false;
      bytes.remove_prefix(static_cast<size_t>(n));
    }
    return true;
  }

  /// Appends at most `limit` bytes to `buf`.
  Received Receive(std::string& buf, Milliseconds timeout,
                   size_t limit = 65'536) const {
    if (!Wait(POLLIN, timeout)) return Received::kTimeout;
    std::string bytes(limit, '\0');
    const ssize_t n = recv(fd_, bytes.data(), bytes.size(), 0);
    if (n <= 0) return Received::kClosed;
    buf.append(bytes, 0, static_cast<size_t>(n));
    return Received::kBytes;
  }

  bool IsValid() const { return fd_ >= 0; }
  void Close() {
    if (fd_ >= 0) close(std::exchange(fd_, -1));
  }

 private:
  bool Wait(short events, Milliseconds timeout) const {
    pollfd entry{fd_, events, 0};
    return poll(&entry, 1, static_cast<int>(timeout.count())) > 0;
  }

  int fd_ = -1;
};

}  // namespace review
