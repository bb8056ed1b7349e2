#pragma once
/// \file
/// Accepts and opens TCP connections.

#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <unordered_map>
#include <vector>

#include "Base/address.h"
#include "Base/result.h"
#include "Net/descriptor_watcher.h"
#include "Net/loop.h"
#include "Net/stream.h"

namespace buckthorncart {

/// How a connection whose peer does not respond any more is detected.
enum class DeadPeerDetection : uint8_t {
  /// By keep-alive probes while it is idle; the peer may leave data unread for
  /// a long time.
  kKeepalive,
  /// Also by the TCP user timeout, which limits how long sent data may stay
  /// unacknowledged or unread.
  kKeepaliveAndUserTimeout,
};

class TcpEndpoint {
 public:
  /// Called for each accepted connection; must set its handler.
  using AcceptHandler = std::function<void(Stream&)>;

  TcpEndpoint(Loop& loop, DeadPeerDetection dead_peer_detection);
  ~TcpEndpoint();
  TcpEndpoint(const TcpEndpoint&) = delete;
  TcpEndpoint& operator=(const TcpEndpoint&) = delete;

  /// Must succeed before any other call. `name` must be unique in the loop.
  Result<void> Open(const std::string& name);
  /// Binds an address without listening: connections to it are refused until
  /// `StartListening`. Fails with `kAddressInUse`.
  /// `receive_buffer_bytes` is what the system may receive for each accepted
  /// connection before it is read; 0 if the system decides.
  Result<void> Bind(Address address, AcceptHandler on_accept,
                    size_t receive_buffer_bytes = 0);
  /// Listens on all bound addresses. Fails with `kAddressInUse` if another
  /// process has started to listen on one of them in the meantime.
  Result<void> StartListening();
  /// Binds an address and listens on all bound addresses.
  Result<void> Listen(Address address, AcceptHandler on_accept);
  /// Accepts the connections in the backlog and closes all listening sockets;
  /// open connections are kept.
  void StopListening();
  /// Opens a connection. `OnOpen` or `OnEnd` is called later, never from inside
  /// this function; data written before `OnOpen` is sent when the connection is
  /// established.
  Stream& Connect(Address to, StreamHandler& handler);
  size_t ConnectionCount() const { return streams_.size(); }
  /// Returns true if some connection, which may be closing, has bytes that the
  /// operating system has not accepted yet.
  bool HasUnsentBytes() const;

 private:
  class Listener;

  Result<void> Start(Listener& listener);
  void AcceptPending(int fd, const AcceptHandler& on_accept);

  Loop& loop_;
  DeadPeerDetection dead_peer_detection_;
  DescriptorWatcher watcher_;
  std::vector<std::unique_ptr<Listener>> listeners_;
  std::unordered_map<Stream*, std::unique_ptr<Stream>> streams_;
};

}  // namespace buckthorncart
