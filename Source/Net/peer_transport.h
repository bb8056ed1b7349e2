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
#include "Net/tcp_endpoint.h"
#include "Wire/peer_messages.h"

namespace buckthorncart {

/// Receives the messages and events of peer connections.
class PeerTransportHandler {
 public:
  virtual ~PeerTransportHandler() = default;
  virtual void OnMessage(Address from, PeerMessage message) = 0;
  /// Called when a connection to `peer` has been lost, with all messages in
  /// transit on it.
  virtual void OnConnectionLost(Address peer) = 0;
  /// Called when a frame from `peer` (unset before its `Hello`) was invalid.
  /// The connection is closed.
  virtual void OnBadFrame(Address peer, Errc reason) = 0;
};

/// Uses at most one connection to send to a peer: one that the peer has opened,
/// or one that is opened by the first message.
class PeerTransport {
 public:
  PeerTransport(Loop& loop, Address self, uint64_t incarnation,
                PeerTransportHandler& handler);
  ~PeerTransport();
  PeerTransport(const PeerTransport&) = delete;
  PeerTransport& operator=(const PeerTransport&) = delete;

  /// Listens on the own address. Fails with `kAddressInUse`.
  Result<void> Listen();
  void Send(Address to, const PeerMessage& message);
  /// Closes the connection to `peer`, which is then reported as lost.
  void Reset(Address peer);

  uint64_t SentBytes() const { return sent_bytes_; }
  /// Returns the bytes sent in messages that do not belong to the handling of a
  /// request.
  uint64_t ControlSentBytes() const { return control_sent_bytes_; }
  uint64_t ReceivedBytes() const { return received_bytes_; }
  size_t ConnectionCount() const { return connections_.size(); }

  /// Returns true if messages to some peer have not been sent yet.
  bool HasUnsentBytes() const { return endpoint_.HasUnsentBytes(); }

 private:
  class Connection;

  Connection& Connect(Address to);
  void Accept(Stream& stream);
  /// Uses an accepted connection for sending after its peer has identified
  /// itself, unless there is one already.
  void AddSendConnection(Connection& connection);
  void HandleClosed(Connection& connection, bool report_loss);
  void Remove(Connection& connection);

  Loop& loop_;
  Address self_;
  uint64_t incarnation_;
  PeerTransportHandler& handler_;
  TcpEndpoint endpoint_;
  std::unordered_map<Connection*, std::unique_ptr<Connection>> connections_;
  /// Closed connections whose functions may still be on the call stack; they
  /// are destroyed from the loop.
  std::vector<std::unique_ptr<Connection>> closed_connections_;
  /// The connection that is used to send to each peer.
  std::map<Address, Connection*> send_connections_;
  uint64_t sent_bytes_ = 0;
  uint64_t control_sent_bytes_ = 0;
  uint64_t received_bytes_ = 0;
};

}  // namespace buckthorncart
