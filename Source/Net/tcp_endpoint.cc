#include "Net/tcp_endpoint.h"

#include <arpa/inet.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <cerrno>
#include <utility>

namespace buckthorncart {
namespace {

constexpr int kBacklog = 1'024;
/// Maximum number of connections accepted in one event, so that other sockets
/// are served in between.
constexpr int kMaxAcceptsPerEvent = 64;
/// Idle time before the first keep-alive probe, interval and number of probes,
/// and maximum time that sent data may stay unacknowledged. Needed since a
/// connection can stop delivering packets permanently without a reset.
constexpr int kKeepaliveIdleSeconds = 1;
constexpr int kKeepaliveIntervalSeconds = 1;
constexpr int kKeepaliveProbes = 2;
constexpr unsigned kUserTimeoutMs = 2'500;

sockaddr_in ToSocketAddress(Address address) {
  sockaddr_in socket_address{};
  socket_address.sin_family = AF_INET;
  socket_address.sin_addr.s_addr = htonl(address.ip);
  socket_address.sin_port = htons(address.port);
  return socket_address;
}

Address FromSocketAddress(const sockaddr_in& socket_address) {
  return {ntohl(socket_address.sin_addr.s_addr),
          ntohs(socket_address.sin_port)};
}

template <typename T>
void SetOption(int fd, int level, int option, T value) {
  setsockopt(fd, level, option, &value, sizeof(value));
}

void SetConnectionOptions(int fd, DeadPeerDetection dead_peer_detection) {
  SetOption(fd, IPPROTO_TCP, TCP_NODELAY, 1);
  SetOption(fd, SOL_SOCKET, SO_KEEPALIVE, 1);
  SetOption(fd, IPPROTO_TCP, TCP_KEEPIDLE, kKeepaliveIdleSeconds);
  SetOption(fd, IPPROTO_TCP, TCP_KEEPINTVL, kKeepaliveIntervalSeconds);
  SetOption(fd, IPPROTO_TCP, TCP_KEEPCNT, kKeepaliveProbes);
  if (dead_peer_detection == DeadPeerDetection::kKeepalive) return;
  SetOption(fd, IPPROTO_TCP, TCP_USER_TIMEOUT, kUserTimeoutMs);
}

tl::unexpected<Failure> AddressInUse(Address address) {
  return Fail(Errc::kAddressInUse, address.ToString(),
              "a free address of this VM",
              "choose another address or end the process that "
              "listens there");
}

int OpenSocket() {
  return socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
}

}  // namespace

/// A listening socket.
class TcpEndpoint::Listener : public WatchedDescriptor {
 public:
  Listener(TcpEndpoint& endpoint, Address address, int fd,
           AcceptHandler on_accept)
      : endpoint_(endpoint),
        address_(address),
        fd_(fd),
        on_accept_(std::move(on_accept)) {}
  /// Closes a socket that was bound but never listened; the loop closes others.
  ~Listener() override {
    if (!started_) close(fd_);
  }

  Address ListenAddress() const { return address_; }
  int Descriptor() const { return fd_; }
  bool IsStarted() const { return started_; }
  void SetStarted() { started_ = true; }
  bool OnReadable() override {
    if (!closed_) endpoint_.AcceptPending(fd_, on_accept_);
    return true;
  }
  bool OnWritable() override { return true; }
  void OnClosed() override { closed_ = true; }

 private:
  TcpEndpoint& endpoint_;
  Address address_;
  int fd_;
  AcceptHandler on_accept_;
  bool started_ = false;
  bool closed_ = false;
};

TcpEndpoint::TcpEndpoint(Loop& loop, DeadPeerDetection dead_peer_detection)
    : loop_(loop), dead_peer_detection_(dead_peer_detection), watcher_(loop) {}

TcpEndpoint::~TcpEndpoint() = default;

Result<void> TcpEndpoint::Open(const std::string& name) {
  return watcher_.Open(name);
}

Result<void> TcpEndpoint::Bind(Address address, AcceptHandler on_accept,
                               size_t receive_buffer_bytes) {
  const int fd = OpenSocket();
  if (fd < 0) return AddressInUse(address);
  SetOption(fd, SOL_SOCKET, SO_REUSEADDR, 1);
  // Accepted connections inherit it. The system doubles the value for its own
  // records.
  if (receive_buffer_bytes > 0) {
    SetOption(fd, SOL_SOCKET, SO_RCVBUF,
              static_cast<int>(receive_buffer_bytes / 2));
  }
  const sockaddr_in socket_address = ToSocketAddress(address);
  if (bind(fd, reinterpret_cast<const sockaddr*>(&socket_address),
           sizeof(socket_address)) != 0) {
    close(fd);
    return AddressInUse(address);
  }
  listeners_.push_back(
      std::make_unique<Listener>(*this, address, fd, std::move(on_accept)));
  return {};
}

Result<void> TcpEndpoint::StartListening() {
  for (const auto& listener : listeners_) {
    if (listener->IsStarted()) continue;
    const Result<void> started = Start(*listener);
    if (!started) return started;
  }
  return {};
}

Result<void> TcpEndpoint::Start(Listener& listener) {
  const int fd = listener.Descriptor();
  if (listen(fd, kBacklog) != 0) return AddressInUse(listener.ListenAddress());
  listener.SetStarted();
  if (!watcher_.Add(fd, listener))
    return AddressInUse(listener.ListenAddress());
  return {};
}

Result<void> TcpEndpoint::Listen(Address address, AcceptHandler on_accept) {
  const Result<void> bound = Bind(address, std::move(on_accept));
  return bound ? StartListening() : bound;
}

void TcpEndpoint::StopListening() {
  for (const auto& listener : listeners_) {
    if (!listener->IsStarted()) continue;
    listener->OnReadable();
    watcher_.Remove(*listener);
  }
}

void TcpEndpoint::AcceptPending(int fd, const AcceptHandler& on_accept) {
  for (int i = 0; i < kMaxAcceptsPerEvent; ++i) {
    sockaddr_in client{};
    socklen_t client_size = sizeof(client);
    const int connection = accept4(fd, reinterpret_cast<sockaddr*>(&client),
                                   &client_size, SOCK_NONBLOCK | SOCK_CLOEXEC);
    if (connection < 0) return;
    SetConnectionOptions(connection, dead_peer_detection_);
    auto owned = std::make_unique<Stream>(
        watcher_, connection, true,
        [this](Stream& closed) { streams_.erase(&closed); });
    if (!watcher_.Add(connection, *owned)) continue;
    Stream& stream = *owned;
    stream.SetClient(FromSocketAddress(client));
    streams_[&stream] = std::move(owned);
    on_accept(stream);
  }
}

Stream& TcpEndpoint::Connect(Address to, StreamHandler& handler) {
  const int fd = OpenSocket();
  auto owned = std::make_unique<Stream>(
      watcher_, fd, false, [this](Stream& closed) { streams_.erase(&closed); });
  Stream& stream = *owned;
  streams_[&stream] = std::move(owned);
  stream.SetHandler(&handler);
  bool started = fd >= 0;
  if (started) {
    SetConnectionOptions(fd, dead_peer_detection_);
    const sockaddr_in socket_address = ToSocketAddress(to);
    const int rc =
        connect(fd, reinterpret_cast<const sockaddr*>(&socket_address),
                sizeof(socket_address));
    const bool pending = rc == 0 || errno == EINPROGRESS;
    if (!pending) close(fd);
    started = pending && watcher_.Add(fd, stream);
  }
  if (started) {
    watcher_.RequestWritable(stream);
  } else {
    loop_.RunIn(Duration::zero(), [&stream] { stream.OnClosed(); });
  }
  return stream;
}

bool TcpEndpoint::HasUnsentBytes() const {
  return std::any_of(streams_.begin(), streams_.end(), [](const auto& item) {
    return item.second->IsOpen() && item.second->BufferedBytes() > 0;
  });
}

}  // namespace buckthorncart
