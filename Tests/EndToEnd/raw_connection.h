#pragma once
/// \file
/// TCP connection on which a test sends arbitrary bytes.

#include <string>
#include <string_view>

#include "Base/address.h"
#include "Base/time.h"

namespace buckthorncart {

class RawConnection {
 public:
  /// Connects to `to`; `IsOpen` returns whether the connection succeeded.
  explicit RawConnection(Address to);
  ~RawConnection();
  RawConnection(const RawConnection&) = delete;
  RawConnection& operator=(const RawConnection&) = delete;

  bool IsOpen() const { return fd_ >= 0; }
  void Send(std::string_view bytes);
  /// Returns the bytes received until the peer closes or `timeout` expires.
  std::string ReceiveUntilClosed(Duration timeout);
  /// Waits up to `timeout` for the peer to close; returns whether it has
  /// closed.
  bool IsClosedWithin(Duration timeout);

 private:
  int fd_ = -1;
  bool closed_ = false;
};

}  // namespace buckthorncart
