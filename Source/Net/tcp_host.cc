#include "Net/tcp_host.h"

#include <arpa/inet.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/socket.h>
#include <unistd.h>

#include <cerrno>
#include <utility>

namespace buckthorncart {
namespace {

constexpr int kBacklog = 1'024;
/// Connections accepted in one event, after which others get their turn.
constexpr int kMaxAccepts = 64;
/// Silence after which a connection is probed, the interval of probes, and the
/// time without an acknowledgement after which it is broken. Connections can
/// go silent for good without a reset.
constexpr int kKeepaliveIdleSeconds = 1;
constexpr int kKeepaliveIntervalSeconds = 1;
constexpr int kKeepaliveProbes = 2;
constexpr unsigned kUserTimeoutMs = 2'500;

sockaddr_in ToSocketAddress(Address address) {
  sockaddr_in name{};
  name.sin_family = AF_INET;
  name.sin_addr.s_addr = htonl(address.ip);
  name.sin_port = htons(address.port);
  return name;
}

template <typename T>
void SetOption(int fd, int level, int option, T value) {
  setsockopt(fd, level, option, &value, sizeof(value));
}

void SetConnectionOptions(int fd, SilenceCheck check) {
  SetOption(fd, IPPROTO_TCP, TCP_NODELAY, 1);
  SetOption(fd, SOL_SOCKET, SO_KEEPALIVE, 1);
  SetOption(fd, IPPROTO_TCP, TCP_KEEPIDLE, kKeepaliveIdleSeconds);
  SetOption(fd, IPPROTO_TCP, TCP_KEEPINTVL, kKeepaliveIntervalSeconds);
  SetOption(fd, IPPROTO_TCP, TCP_KEEPCNT, kKeepaliveProbes);
  if (check == SilenceCheck::kIdle) return;
  SetOption(fd, IPPROTO_TCP, TCP_USER_TIMEOUT, kUserTimeoutMs);
}

tl::unexpected<Failure> InUse(Address address) {
  return Fail(Errc::kAddressInUse, address.ToString(),
              "a free address of this VM",
              "choose another address or end the process that "
              "listens there");
}

int OpenSocket() {
  return socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
}

}  // namespace

/// A socket that listens.
class TcpHost::Listener : public WatchedDescriptor {
 public:
  Listener(TcpHost& host, Address address, int fd, AcceptHandler on_accept)
      : host_(host),
        address_(address),
        fd_(fd),
        on_accept_(std::move(on_accept)) {}
  /// Closes a socket that was bound and never listened.
  ~Listener() override {
    if (!started_) close(fd_);
  }

  Address At() const { return address_; }
  int Descriptor() const { return fd_; }
  bool IsStarted() const { return started_; }
  void SetStarted() { started_ = true; }
  bool OnReadable() override {
    if (!closed_) host_.AcceptAll(fd_, on_accept_);
    return true;
  }
  bool OnWritable() override { return true; }
  void OnClosed() override { closed_ = true; }

 private:
  TcpHost& host_;
  Address address_;
  int fd_;
  AcceptHandler on_accept_;
  bool started_ = false;
  bool closed_ = false;
};

TcpHost::TcpHost(Loop& loop, SilenceCheck check)
    : loop_(loop), check_(check), watcher_(loop) {}

TcpHost::~TcpHost() = default;

Result<void> TcpHost::Open(const std::string& name) {
  return watcher_.Open(name);
}

Result<void> TcpHost::Bind(Address address, AcceptHandler on_accept) {
  const int fd = OpenSocket();
  if (fd < 0) return InUse(address);
  SetOption(fd, SOL_SOCKET, SO_REUSEADDR, 1);
  const sockaddr_in name = ToSocketAddress(address);
  if (bind(fd, reinterpret_cast<const sockaddr*>(&name), sizeof(name)) != 0) {
    close(fd);
    return InUse(address);
  }
  listeners_.push_back(
      std::make_unique<Listener>(*this, address, fd, std::move(on_accept)));
  return {};
}

Result<void> TcpHost::StartListening() {
  for (const auto& listener : listeners_) {
    if (listener->IsStarted()) continue;
    const Result<void> started = Start(*listener);
    if (!started) return started;
  }
  return {};
}

Result<void> TcpHost::Start(Listener& listener) {
  const int fd = listener.Descriptor();
  if (listen(fd, kBacklog) != 0) return InUse(listener.At());
  listener.SetStarted();
  if (!watcher_.Add(fd, listener)) return InUse(listener.At());
  return {};
}

Result<void> TcpHost::Listen(Address address, AcceptHandler on_accept) {
  const Result<void> bound = Bind(address, std::move(on_accept));
  return bound ? StartListening() : bound;
}

void TcpHost::StopListening() {
  for (const auto& listener : listeners_) {
    if (!listener->IsStarted()) continue;
    listener->OnReadable();
    watcher_.Remove(*listener);
  }
}

void TcpHost::AcceptAll(int fd, const AcceptHandler& on_accept) {
  for (int i = 0; i < kMaxAccepts; ++i) {
    const int connection =
        accept4(fd, nullptr, nullptr, SOCK_NONBLOCK | SOCK_CLOEXEC);
    if (connection < 0) return;
    SetConnectionOptions(connection, check_);
    auto owned = std::make_unique<Stream>(
        watcher_, connection, true,
        [this](Stream& gone) { streams_.erase(&gone); });
    if (!watcher_.Add(connection, *owned)) continue;
    Stream& stream = *owned;
    streams_[&stream] = std::move(owned);
    on_accept(stream);
  }
}

Stream& TcpHost::Connect(Address to, StreamHandler& handler) {
  const int fd = OpenSocket();
  auto owned = std::make_unique<Stream>(
      watcher_, fd, false, [this](Stream& gone) { streams_.erase(&gone); });
  Stream& stream = *owned;
  streams_[&stream] = std::move(owned);
  stream.SetHandler(&handler);
  bool started = fd >= 0;
  if (started) {
    SetConnectionOptions(fd, check_);
    const sockaddr_in name = ToSocketAddress(to);
    const int rc =
        connect(fd, reinterpret_cast<const sockaddr*>(&name), sizeof(name));
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

}  // namespace buckthorncart
