#pragma once
/// \file
/// Listens for TCP connections and opens them.

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

/// How a connection that has gone silent is found.
enum class SilenceCheck : uint8_t {
  /// By probes while it is idle; a peer may leave bytes unread for long.
  kIdle,
  /// Also by the time that sent bytes stay unacknowledged or unread.
  kAlways,
};

class TcpHost {
 public:
  /// Sets the handler of a connection that has been accepted.
  using AcceptHandler = std::function<void(Stream&)>;

  TcpHost(Loop& loop, SilenceCheck check);
  ~TcpHost();
  TcpHost(const TcpHost&) = delete;
  TcpHost& operator=(const TcpHost&) = delete;

  /// Must succeed before all else. `name` is unique in the loop.
  Result<void> Open(const std::string& name);
  /// Takes an address whose connections are refused until `StartListening`.
  /// Fails with `kAddressInUse`.
  Result<void> Bind(Address address, AcceptHandler on_accept);
  /// Listens on all addresses taken so far. Fails with `kAddressInUse` when
  /// another process has begun to listen on one in the meantime.
  Result<void> StartListening();
  /// Both of the above.
  Result<void> Listen(Address address, AcceptHandler on_accept);
  /// Accepts what waits and closes all listeners; open connections stay.
  void StopListening();
  /// Opens a connection. `OnOpen` or `OnEnd` follows, never from inside this
  /// call; what is written before is sent when the connection is open.
  Stream& Connect(Address to, StreamHandler& handler);
  size_t ConnectionCount() const { return streams_.size(); }

 private:
  class Listener;

  Result<void> Start(Listener& listener);
  void AcceptAll(int fd, const AcceptHandler& on_accept);

  Loop& loop_;
  SilenceCheck check_;
  DescriptorWatcher watcher_;
  std::vector<std::unique_ptr<Listener>> listeners_;
  std::unordered_map<Stream*, std::unique_ptr<Stream>> streams_;
};

}  // namespace buckthorncart
