#pragma once
/// \file
/// Ends a listener without losing connections that wait to be accepted.

#include "Base/address.h"

namespace buckthorncart {

/// The socket of this process that listens on an address. The library keeps
/// it, so that it is found by its name.
class ListeningSocket {
 public:
  /// Looks among the first `fd_limit` file descriptors.
  ListeningSocket(Address address, int fd_limit);

  /// Ignores new connections; those that wait are still accepted. Their peers
  /// repeat the attempt until the socket closes, and are refused then.
  void IgnoreNewConnections() const;
  /// True when no connection waits to be accepted.
  bool IsDrained() const;

 private:
  int fd_ = -1;
};

}  // namespace buckthorncart
