#include "Net/peer_transport.h"

#include <netinet/tcp.h>
#include <sys/socket.h>

#include <algorithm>
#include <utility>

#include "Wire/codec.h"

namespace buckthorncart {
namespace {

constexpr size_t kWriteBytes = 65'536;
/// A peer that lets more than this pile up is taken as lost.
constexpr size_t kMaxOutBytes = 64U << 20U;

/// True unless the message carries a request or its answer.
bool IsControl(const PeerMessage& message) {
  return !std::holds_alternative<Call>(message) &&
         !std::holds_alternative<CallAnswer>(message) &&
         !std::holds_alternative<CallRefused>(message) &&
         !std::holds_alternative<CallFailed>(message) &&
         !std::holds_alternative<CancelCall>(message) &&
         !std::holds_alternative<CallCredit>(message);
}

void DisableNagle(lws* wsi) {
  const int on = 1;
  setsockopt(lws_get_socket_fd(wsi), IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
}

}  // namespace

PeerTransport::PeerTransport(Loop& loop, Address self, uint64_t incarnation,
                             PeerTransportHandler& handler)
    : loop_(loop),
      self_(self),
      incarnation_(incarnation),
      handler_(handler),
      protocols_{} {
  protocols_[0] = {"peer", Callback, 0, 0, 0, this, 0};
}

Result<void> PeerTransport::Listen() {
  auto vhost = loop_.AddVhost("peer", self_, protocols_, true);
  if (!vhost) return tl::unexpected(vhost.error());
  vhost_ = *vhost;
  return {};
}

void PeerTransport::Send(Address to, const PeerMessage& message) {
  const auto it = sending_.find(to);
  Connection* connection = it == sending_.end() ? Connect(to) : it->second;
  if (connection == nullptr) {
    handler_.OnLost(to);
    return;
  }
  Enqueue(*connection, message);
}

void PeerTransport::Reset(Address peer) {
  const auto it = sending_.find(peer);
  if (it == sending_.end()) return;
  Connection* connection = it->second;
  sending_.erase(it);
  Close(*connection);
  handler_.OnLost(peer);
}

PeerTransport::Connection* PeerTransport::Connect(Address to) {
  auto owned = std::make_unique<Connection>();
  Connection* connection = owned.get();
  connection->transport = this;
  connection->peer = to;
  connections_[connection] = std::move(owned);
  const std::string ip = to.IpString();
  lws_client_connect_info info{};
  info.context = loop_.Context();
  info.vhost = vhost_;
  info.address = ip.c_str();
  info.port = to.port;
  info.path = "/";
  info.host = ip.c_str();
  info.method = "RAW";
  info.local_protocol_name = protocols_[0].name;
  info.opaque_user_data = connection;
  sending_[to] = connection;
  lws* wsi = lws_client_connect_via_info(&info);
  // A connection that failed inside the call has been removed already.
  const auto it = sending_.find(to);
  if (it == sending_.end() || it->second != connection) return nullptr;
  if (wsi == nullptr) {
    sending_.erase(to);
    connections_.erase(connection);
    return nullptr;
  }
  connection->wsi = wsi;
  Enqueue(*connection, Hello{self_, incarnation_});
  return connection;
}

void PeerTransport::Accept(lws* wsi) {
  auto owned = std::make_unique<Connection>();
  Connection* connection = owned.get();
  connection->transport = this;
  connection->wsi = wsi;
  connection->open = true;
  connections_[connection] = std::move(owned);
  lws_set_opaque_user_data(wsi, connection);
  DisableNagle(wsi);
  Enqueue(*connection, Hello{self_, incarnation_});
}

void PeerTransport::Enqueue(Connection& connection,
                            const PeerMessage& message) {
  std::string frame = MakeFrame(Encode(message));
  if (IsControl(message)) control_sent_bytes_ += frame.size();
  connection.out_bytes += frame.size();
  connection.out.push_back(std::move(frame));
  if (connection.open) lws_callback_on_writable(connection.wsi);
}

void PeerTransport::Close(Connection& connection) {
  if (std::exchange(connection.closing, true)) return;
  if (connection.wsi == nullptr) return;
  lws_set_timeout(connection.wsi, PENDING_TIMEOUT_USER_REASON_BASE,
                  LWS_TO_KILL_ASYNC);
}

int PeerTransport::Callback(lws* wsi, lws_callback_reasons reason,
                            void* /*user*/, void* in, size_t len) {
  const lws_protocols* protocol = lws_get_protocol(wsi);
  if (protocol == nullptr || protocol->user == nullptr) return 0;
  auto* transport = static_cast<PeerTransport*>(protocol->user);
  auto* connection = static_cast<Connection*>(lws_get_opaque_user_data(wsi));
  if (reason == LWS_CALLBACK_RAW_ADOPT && connection == nullptr) {
    transport->Accept(wsi);
    return 0;
  }
  if (connection == nullptr) return 0;
  connection->wsi = wsi;
  switch (reason) {
    case LWS_CALLBACK_RAW_CONNECTED:
      connection->open = true;
      DisableNagle(wsi);
      lws_callback_on_writable(wsi);
      return 0;
    case LWS_CALLBACK_RAW_RX:
      return transport->HandleReceived(*connection,
                                       {static_cast<const char*>(in), len});
    case LWS_CALLBACK_RAW_WRITEABLE:
      return transport->HandleWriteable(*connection);
    case LWS_CALLBACK_RAW_CLOSE:
    case LWS_CALLBACK_CLIENT_CONNECTION_ERROR:
      lws_set_opaque_user_data(wsi, nullptr);
      transport->HandleClosed(*connection);
      return 0;
    default:
      return 0;
  }
}

int PeerTransport::HandleReceived(Connection& connection,
                                  std::string_view bytes) {
  received_bytes_ += bytes.size();
  connection.reader.Append(bytes);
  while (!connection.closing) {
    auto frame = connection.reader.Next();
    if (!frame) {
      handler_.OnBadFrame(connection.peer, frame.error().code);
      return -1;
    }
    if (!*frame) return 0;
    if (!HandleFrame(connection, **frame)) return -1;
  }
  return -1;
}

bool PeerTransport::HandleFrame(Connection& connection,
                                const std::string& frame) {
  auto message = Decode<PeerMessage>(frame);
  const Hello* hello = message ? std::get_if<Hello>(&*message) : nullptr;
  // The first frame of an accepted connection tells who sends.
  const bool expected = message && (connection.peer.IsSet() || hello);
  if (!expected) {
    handler_.OnBadFrame(connection.peer, Errc::kMalformedFrame);
    return false;
  }
  if (hello == nullptr) {
    handler_.OnMessage(connection.peer, std::move(*message));
    return true;
  }
  if (!connection.peer.IsSet()) {
    connection.peer = hello->address;
    sending_.emplace(connection.peer, &connection);
  }
  return true;
}

int PeerTransport::HandleWriteable(Connection& connection) {
  if (connection.out_bytes > kMaxOutBytes) return -1;
  std::string bytes(LWS_PRE, '\0');
  while (!connection.out.empty() && bytes.size() < LWS_PRE + kWriteBytes) {
    const std::string& frame = connection.out.front();
    const size_t room = LWS_PRE + kWriteBytes - bytes.size();
    const size_t n = std::min(room, frame.size() - connection.out_offset);
    bytes.append(frame, connection.out_offset, n);
    connection.out_offset += n;
    connection.out_bytes -= n;
    if (connection.out_offset < frame.size()) break;
    connection.out.pop_front();
    connection.out_offset = 0;
  }
  const size_t length = bytes.size() - LWS_PRE;
  if (length == 0) return 0;
  sent_bytes_ += length;
  const int written = lws_write(
      connection.wsi, reinterpret_cast<unsigned char*>(bytes.data()) + LWS_PRE,
      length, LWS_WRITE_RAW);
  if (written < 0) return -1;
  if (!connection.out.empty()) lws_callback_on_writable(connection.wsi);
  return 0;
}

void PeerTransport::HandleClosed(Connection& connection) {
  const Address peer = connection.peer;
  const auto it = sending_.find(peer);
  if (it != sending_.end() && it->second == &connection) sending_.erase(it);
  // A reset connection has been reported as lost by `Reset`.
  const bool report = peer.IsSet() && !connection.closing;
  connections_.erase(&connection);
  if (report) handler_.OnLost(peer);
}

}  // namespace buckthorncart
