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

int OpenSocket() {
  return socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
}

}  // namespace

/// A socket that listens.
class TcpHost::Listener : public WatchedDescriptor {
 public:
  Listener(TcpHost& host, int fd, AcceptHandler on_accept)
      : host_(host), fd_(fd), on_accept_(std::move(on_accept)) {}

  bool OnReadable() override {
    if (!closed_) host_.AcceptAll(fd_, on_accept_);
    return true;
  }
  bool OnWritable() override { return true; }
  void OnClosed() override { closed_ = true; }

 private:
  TcpHost& host_;
  int fd_;
  AcceptHandler on_accept_;
  bool closed_ = false;
};

TcpHost::TcpHost(Loop& loop, SilenceCheck check)
    : loop_(loop), check_(check), watcher_(loop) {}

TcpHost::~TcpHost() = default;

Result<void> TcpHost::Open(const std::string& name) {
  return watcher_.Open(name);
}

Result<void> TcpHost::Listen(Address address, AcceptHandler on_accept) {
  const auto in_use =
      Fail(Errc::kAddressInUse, address.ToString(), "a free address of this VM",
           "choose another address or end the process that "
           "listens there");
  const int fd = OpenSocket();
  if (fd < 0) return in_use;
  SetOption(fd, SOL_SOCKET, SO_REUSEADDR, 1);
  const sockaddr_in name = ToSocketAddress(address);
  const bool listens =
      bind(fd, reinterpret_cast<const sockaddr*>(&name), sizeof(name)) == 0 &&
      listen(fd, kBacklog) == 0;
  if (!listens) {
    close(fd);
    return in_use;
  }
  auto listener = std::make_unique<Listener>(*this, fd, std::move(on_accept));
  if (!watcher_.Add(fd, *listener)) return in_use;
  listeners_.push_back(std::move(listener));
  return {};
}

void TcpHost::StopListening() {
  for (const auto& listener : listeners_) {
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
