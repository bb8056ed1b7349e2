#pragma once
/// \file
/// UDP socket that is driven by the event loop.

#include <libwebsockets.h>

#include <cstdint>
#include <functional>
#include <string_view>

#include "Base/address.h"
#include "Base/result.h"
#include "Net/loop.h"

namespace buckthorncart {

using DatagramHandler =
    std::function<void(Address from, std::string_view bytes)>;

class DatagramSocket {
 public:
  DatagramSocket(Loop& loop, DatagramHandler handler);
  DatagramSocket(const DatagramSocket&) = delete;
  DatagramSocket& operator=(const DatagramSocket&) = delete;

  /// Binds the socket to `address`. Fails with `kAddressInUse`.
  Result<void> Bind(Address address);
  /// Sends without blocking. A datagram that cannot be sent is dropped, since
  /// UDP does not guarantee delivery anyway.
  void Send(Address to, std::string_view bytes);

  uint64_t SentBytes() const { return sent_bytes_; }
  uint64_t ReceivedBytes() const { return received_bytes_; }

 private:
  static int Callback(lws* wsi, lws_callback_reasons reason, void* user,
                      void* in, size_t len);
  void Receive();

  Loop& loop_;
  DatagramHandler handler_;
  lws_protocols protocols_[2];
  int fd_ = -1;
  uint64_t sent_bytes_ = 0;
  uint64_t received_bytes_ = 0;
};

}  // namespace buckthorncart
