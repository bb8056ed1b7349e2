#pragma once
/// \file
/// Framed TCP connections between daemons.

#include <cstdint>
#include <map>
#include <memory>
#include <string>
#include <unordered_map>
#include <vector>

#include "Base/address.h"
#include "Base/error.h"
#include "Base/result.h"
#include "Net/loop.h"
#include "Net/tcp_host.h"
#include "Wire/peer_messages.h"

namespace buckthorncart {

/// Receives what happens on the connections.
class PeerTransportHandler {
 public:
  virtual ~PeerTransportHandler() = default;
  virtual void OnMessage(Address from, PeerMessage message) = 0;
  /// A connection with `peer` is gone, with what was under way on it.
  virtual void OnLost(Address peer) = 0;
  /// A frame from `peer` (unset before its `Hello`) was refused and its
  /// connection closed.
  virtual void OnBadFrame(Address peer, Errc reason) = 0;
};

/// At most one connection is used to send to a peer. It is opened by the
/// first message, and a connection that the peer has opened serves as well.
class PeerTransport {
 public:
  PeerTransport(Loop& loop, Address self, uint64_t incarnation,
                PeerTransportHandler& handler);
  ~PeerTransport();
  PeerTransport(const PeerTransport&) = delete;
  PeerTransport& operator=(const PeerTransport&) = delete;

  /// Fails with `kAddressInUse`.
  Result<void> Listen();
  void Send(Address to, const PeerMessage& message);
  /// Closes the connection to `peer`.
  void Reset(Address peer);

  uint64_t SentBytes() const { return sent_bytes_; }
  /// Bytes of all messages but requests and their answers.
  uint64_t ControlSentBytes() const { return control_sent_bytes_; }
  uint64_t ReceivedBytes() const { return received_bytes_; }
  size_t ConnectionCount() const { return connections_.size(); }

 private:
  class Connection;

  Connection& Connect(Address to);
  void Accept(Stream& stream);
  /// The connection to a peer that has told who it is.
  void Adopt(Connection& connection);
  void HandleEnd(Connection& connection, bool report);
  void Remove(Connection& connection);

  Loop& loop_;
  Address self_;
  uint64_t incarnation_;
  PeerTransportHandler& handler_;
  TcpHost host_;
  std::unordered_map<Connection*, std::unique_ptr<Connection>> connections_;
  /// Connections that have ended and may still be on the call stack.
  std::vector<std::unique_ptr<Connection>> ended_;
  std::map<Address, Connection*> sending_;
  uint64_t sent_bytes_ = 0;
  uint64_t control_sent_bytes_ = 0;
  uint64_t received_bytes_ = 0;
};

}  // namespace buckthorncart
