#pragma once
/// \file
/// TCP connection on which a test sends any bytes.

#include <string>
#include <string_view>

#include "Base/address.h"
#include "Base/time.h"

namespace buckthorncart {

class RawConnection {
 public:
  /// Connects to `to`; `IsOpen` tells whether that worked.
  explicit RawConnection(Address to);
  ~RawConnection();
  RawConnection(const RawConnection&) = delete;
  RawConnection& operator=(const RawConnection&) = delete;

  bool IsOpen() const { return fd_ >= 0; }
  void Send(std::string_view bytes);
  /// Bytes until the peer closes, or what has come within `limit`.
  std::string ReceiveUntilClosed(Duration limit);
  /// True once the peer has closed; waits up to `limit`.
  bool IsClosedWithin(Duration limit);

 private:
  int fd_ = -1;
  bool closed_ = false;
};

}  // namespace buckthorncart
