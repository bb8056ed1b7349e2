#include "Net/peer_transport.h"

#include <utility>

#include "Net/stream.h"
#include "Wire/codec.h"
#include "Wire/frame_reader.h"

namespace buckthorncart {
namespace {

/// A peer that lets more than this pile up is taken as lost.
constexpr size_t kMaxOutBytes = 64U << 20U;
/// Time for a connection to open.
constexpr Duration kConnectTimeout = 1s;

/// True unless the message carries a request or its answer.
bool IsControl(const PeerMessage& message) {
  return !std::holds_alternative<Call>(message) &&
         !std::holds_alternative<CallAnswer>(message) &&
         !std::holds_alternative<CallRefused>(message) &&
         !std::holds_alternative<CallFailed>(message) &&
         !std::holds_alternative<CancelCall>(message) &&
         !std::holds_alternative<CallCredit>(message) &&
         !std::holds_alternative<ClaimQuery>(message) &&
         !std::holds_alternative<ClaimReport>(message) &&
         !std::holds_alternative<OutcomeQuery>(message) &&
         !std::holds_alternative<RelayedWrite>(message) &&
         !std::holds_alternative<RelayedReply>(message);
}

}  // namespace

/// One connection with a peer.
class PeerTransport::Connection : public StreamHandler {
 public:
  /// `peer` is unset on an accepted connection until its `Hello`.
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
    if (IsControl(message)) transport_.control_sent_bytes_ += frame.size();
    transport_.sent_bytes_ += frame.size();
    stream_->Write(frame);
    if (stream_->BufferedBytes() > kMaxOutBytes) End(true);
  }

  /// Ends the connection. With `report`, the peer is reported as lost.
  void End(bool report) {
    if (stream_ != nullptr) std::exchange(stream_, nullptr)->Abort();
    transport_.HandleEnd(*this, report);
  }

  void OnBytes(std::string_view bytes) override {
    transport_.received_bytes_ += bytes.size();
    reader_.Append(bytes);
    while (stream_ != nullptr) {
      auto frame = reader_.Next();
      if (!frame) {
        transport_.handler_.OnBadFrame(peer_, frame.error().code);
        End(true);
        return;
      }
      if (!*frame) return;
      HandleFrame(**frame);
    }
  }

  void OnEnd(StreamEnd /*end*/) override {
    stream_ = nullptr;
    transport_.HandleEnd(*this, true);
  }

 private:
  void HandleFrame(const std::string& frame) {
    auto message = Decode<PeerMessage>(frame);
    const Hello* hello = message ? std::get_if<Hello>(&*message) : nullptr;
    // The first frame of an accepted connection tells who sends.
    const bool expected = message && (peer_.IsSet() || hello);
    if (!expected) {
      transport_.handler_.OnBadFrame(peer_, Errc::kMalformedFrame);
      End(true);
      return;
    }
    if (hello == nullptr) {
      transport_.handler_.OnMessage(peer_, std::move(*message));
      return;
    }
    if (peer_.IsSet()) return;
    peer_ = hello->address;
    transport_.Adopt(*this);
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
      host_(loop, SilenceCheck::kAlways) {}

PeerTransport::~PeerTransport() = default;

Result<void> PeerTransport::Listen() {
  const Result<void> opened = host_.Open("peer");
  if (!opened) return opened;
  return host_.Listen(self_, [this](Stream& stream) { Accept(stream); });
}

void PeerTransport::Send(Address to, const PeerMessage& message) {
  const auto it = sending_.find(to);
  Connection& connection = it == sending_.end() ? Connect(to) : *it->second;
  connection.Send(message);
}

void PeerTransport::Reset(Address peer) {
  const auto it = sending_.find(peer);
  if (it == sending_.end()) return;
  it->second->End(true);
}

PeerTransport::Connection& PeerTransport::Connect(Address to) {
  auto owned = std::make_unique<Connection>(*this, to);
  Connection& connection = *owned;
  connections_[&connection] = std::move(owned);
  sending_[to] = &connection;
  Stream& stream = host_.Connect(to, connection);
  connection.SetStream(stream);
  loop_.RunIn(kConnectTimeout, [this, to] {
    const auto it = sending_.find(to);
    if (it == sending_.end() || it->second->IsOpen()) return;
    const bool expired = Loop::Now() - it->second->Created() >= kConnectTimeout;
    if (expired) it->second->End(true);
  });
  return connection;
}

void PeerTransport::Accept(Stream& stream) {
  auto owned = std::make_unique<Connection>(*this, Address{});
  Connection& connection = *owned;
  connections_[&connection] = std::move(owned);
  stream.SetHandler(&connection);
  connection.SetStream(stream);
}

void PeerTransport::Adopt(Connection& connection) {
  sending_.emplace(connection.Peer(), &connection);
}

void PeerTransport::HandleEnd(Connection& connection, bool report) {
  const Address peer = connection.Peer();
  const auto it = sending_.find(peer);
  if (it != sending_.end() && it->second == &connection) sending_.erase(it);
  Remove(connection);
  if (report && peer.IsSet()) handler_.OnLost(peer);
}

void PeerTransport::Remove(Connection& connection) {
  const auto it = connections_.find(&connection);
  if (it == connections_.end()) return;
  if (ended_.empty()) {
    loop_.RunIn(Duration::zero(), [this] { ended_.clear(); });
  }
  ended_.push_back(std::move(it->second));
  connections_.erase(it);
}

}  // namespace buckthorncart
