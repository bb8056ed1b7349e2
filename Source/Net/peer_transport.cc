#include "Net/peer_transport.h"

#include <utility>

#include "Net/stream.h"
#include "Wire/answer_status.h"
#include "Wire/codec.h"
#include "Wire/frame_reader.h"

namespace buckthorncart {
namespace {

/// Maximum number of unsent bytes; a peer with more is reported as lost.
constexpr size_t kMaxBufferedBytes = 64U << 20U;
/// Maximum time for establishing a connection.
constexpr Duration kConnectTimeout = 1s;

/// Returns true unless the message belongs to the handling of a request.
bool IsControlMessage(const PeerMessage& message) {
  return !std::holds_alternative<Call>(message) &&
         !std::holds_alternative<CallAnswer>(message) &&
         !std::holds_alternative<CallRefused>(message) &&
         !std::holds_alternative<CallFailed>(message) &&
         !std::holds_alternative<CancelCall>(message) &&
         !std::holds_alternative<CallCredit>(message) &&
         !std::holds_alternative<BodyRequest>(message) &&
         !std::holds_alternative<BodyPiece>(message) &&
         !std::holds_alternative<ClaimQuery>(message) &&
         !std::holds_alternative<ClaimReport>(message) &&
         !std::holds_alternative<OutcomeQuery>(message) &&
         !std::holds_alternative<RelayedWrite>(message) &&
         !std::holds_alternative<RelayedReply>(message);
}

}  // namespace

/// A connection to a peer.
class PeerTransport::Connection : public StreamHandler {
 public:
  /// `peer` is unset for an accepted connection until its `Hello` arrives.
  Connection(PeerTransport& transport, Address peer)
      : transport_(transport), peer_(peer), created_(Loop::Now()) {}

  Time Created() const { return created_; }
  Address Peer() const { return peer_; }
  bool IsOpen() const { return stream_ != nullptr && stream_->IsOpen(); }

  void SetStream(Stream& stream) {
    stream_ = &stream;
    Send(Hello{transport_.self_, transport_.incarnation_});
  }

  void Send(const PeerMessage& message) {
    if (stream_ == nullptr) return;
    const std::string frame = MakeFrame(Encode(message));
    if (IsControlMessage(message))
      transport_.control_sent_bytes_ += frame.size();
    transport_.sent_bytes_ += frame.size();
    stream_->Write(frame);
    if (stream_->BufferedBytes() > kMaxBufferedBytes) Close(true);
  }

  /// Closes the connection. With `report_loss`, the peer is reported as lost.
  void Close(bool report_loss) {
    if (stream_ != nullptr) std::exchange(stream_, nullptr)->Abort();
    transport_.HandleClosed(*this, report_loss);
  }

  void OnBytes(std::string_view bytes) override {
    transport_.received_bytes_ += bytes.size();
    reader_.Append(bytes);
    while (stream_ != nullptr) {
      auto frame = reader_.Next();
      if (!frame) {
        transport_.handler_.OnBadFrame(peer_, frame.error().code);
        Close(true);
        return;
      }
      if (!*frame) return;
      HandleFrame(**frame);
    }
  }

  void OnEnd(StreamEnd /*end*/) override {
    stream_ = nullptr;
    transport_.HandleClosed(*this, true);
  }

 private:
  void HandleFrame(const std::string& frame) {
    auto message = Decode<PeerMessage>(frame);
    const Hello* hello = message ? std::get_if<Hello>(&*message) : nullptr;
    // The first frame of an accepted connection must identify the sender.
    const bool acceptable = message && (peer_.IsSet() || hello);
    if (!acceptable) {
      transport_.handler_.OnBadFrame(peer_, Errc::kMalformedFrame);
      Close(true);
      return;
    }
    if (hello == nullptr) {
      ReplaceInvalidAnswer(*message);
      transport_.handler_.OnMessage(peer_, std::move(*message));
      return;
    }
    if (peer_.IsSet()) return;
    peer_ = hello->address;
    transport_.AddSendConnection(*this);
  }

  PeerTransport& transport_;
  Address peer_;
  Time created_;
  Stream* stream_ = nullptr;
  FrameReader reader_;
};

PeerTransport::PeerTransport(Loop& loop, Address self, uint64_t incarnation,
                             PeerTransportHandler& handler)
    : loop_(loop),
      self_(self),
      incarnation_(incarnation),
      handler_(handler),
      endpoint_(loop, DeadPeerDetection::kKeepaliveAndUserTimeout) {}

PeerTransport::~PeerTransport() = default;

Result<void> PeerTransport::Listen() {
  const Result<void> opened = endpoint_.Open("peer");
  if (!opened) return opened;
  return endpoint_.Listen(self_, [this](Stream& stream) { Accept(stream); });
}

void PeerTransport::Send(Address to, const PeerMessage& message) {
  const auto it = send_connections_.find(to);
  Connection& connection =
      it == send_connections_.end() ? Connect(to) : *it->second;
  connection.Send(message);
}

void PeerTransport::Reset(Address peer) {
  const auto it = send_connections_.find(peer);
  if (it == send_connections_.end()) return;
  it->second->Close(true);
}

PeerTransport::Connection& PeerTransport::Connect(Address to) {
  auto new_connection = std::make_unique<Connection>(*this, to);
  Connection& connection = *new_connection;
  connections_[&connection] = std::move(new_connection);
  send_connections_[to] = &connection;
  Stream& stream = endpoint_.Connect(to, connection);
  connection.SetStream(stream);
  loop_.RunIn(kConnectTimeout, [this, to] {
    const auto it = send_connections_.find(to);
    if (it == send_connections_.end() || it->second->IsOpen()) return;
    const bool expired = Loop::Now() - it->second->Created() >= kConnectTimeout;
    if (expired) it->second->Close(true);
  });
  return connection;
}

void PeerTransport::Accept(Stream& stream) {
  auto new_connection = std::make_unique<Connection>(*this, Address{});
  Connection& connection = *new_connection;
  connections_[&connection] = std::move(new_connection);
  stream.SetHandler(&connection);
  connection.SetStream(stream);
}

void PeerTransport::AddSendConnection(Connection& connection) {
  send_connections_.emplace(connection.Peer(), &connection);
}

void PeerTransport::HandleClosed(Connection& connection, bool report_loss) {
  const Address peer = connection.Peer();
  const auto it = send_connections_.find(peer);
  if (it != send_connections_.end() && it->second == &connection)
    send_connections_.erase(it);
  Remove(connection);
  if (report_loss && peer.IsSet()) handler_.OnConnectionLost(peer);
}

void PeerTransport::Remove(Connection& connection) {
  const auto it = connections_.find(&connection);
  if (it == connections_.end()) return;
  if (closed_connections_.empty()) {
    loop_.RunIn(Duration::zero(), [this] { closed_connections_.clear(); });
  }
  closed_connections_.push_back(std::move(it->second));
  connections_.erase(it);
}

}  // namespace buckthorncart
