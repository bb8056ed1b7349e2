#include "Net/datagram_socket.h"

#include <arpa/inet.h>
#include <sys/socket.h>
#include <unistd.h>

#include <array>
#include <utility>

namespace buckthorncart {
namespace {

constexpr size_t kMaxDatagramBytes = 65'536;
/// Maximum number of datagrams read in one event, so that a busy socket does
/// not starve the others.
constexpr int kMaxDatagramsPerEvent = 64;
constexpr int kReceiveBufferBytes = 1 << 20;

sockaddr_in ToSocketAddress(Address address) {
  sockaddr_in socket_address{};
  socket_address.sin_family = AF_INET;
  socket_address.sin_addr.s_addr = htonl(address.ip);
  socket_address.sin_port = htons(address.port);
  return socket_address;
}

}  // namespace

DatagramSocket::DatagramSocket(Loop& loop, DatagramHandler handler)
    : loop_(loop), handler_(std::move(handler)), protocols_{} {
  protocols_[0] = {"datagram", Callback, 0, 0, 0, this, 0};
}

Result<void> DatagramSocket::Bind(Address address) {
  const auto in_use = Fail(Errc::kAddressInUse, address.ToString() + " (UDP)",
                           "a free address of this VM",
                           "choose another address or end the process that "
                           "listens there");
  auto vhost = loop_.AddVhost("datagram", {}, protocols_, false);
  if (!vhost) return tl::unexpected(vhost.error());
  fd_ = socket(AF_INET, SOCK_DGRAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
  const sockaddr_in socket_address = ToSocketAddress(address);
  setsockopt(fd_, SOL_SOCKET, SO_RCVBUF, &kReceiveBufferBytes,
             sizeof(kReceiveBufferBytes));
  if (bind(fd_, reinterpret_cast<const sockaddr*>(&socket_address),
           sizeof(socket_address)) != 0) {
    close(fd_);
    return in_use;
  }
  lws_sock_file_fd_type descriptor;
  descriptor.filefd = fd_;
  lws* wsi = lws_adopt_descriptor_vhost(*vhost, LWS_ADOPT_RAW_FILE_DESC,
                                        descriptor, "datagram", nullptr);
  if (wsi == nullptr) return in_use;
  return {};
}

void DatagramSocket::Send(Address to, std::string_view bytes) {
  const sockaddr_in socket_address = ToSocketAddress(to);
  const ssize_t n = sendto(fd_, bytes.data(), bytes.size(), MSG_DONTWAIT,
                           reinterpret_cast<const sockaddr*>(&socket_address),
                           sizeof(socket_address));
  if (n > 0) sent_bytes_ += static_cast<uint64_t>(n);
}

int DatagramSocket::Callback(lws* wsi, lws_callback_reasons reason,
                             void* /*user*/, void* /*in*/, size_t /*len*/) {
  const lws_protocols* protocol = lws_get_protocol(wsi);
  if (protocol == nullptr || protocol->user == nullptr) return 0;
  if (reason == LWS_CALLBACK_RAW_RX_FILE) {
    static_cast<DatagramSocket*>(protocol->user)->Receive();
  }
  return 0;
}

void DatagramSocket::Receive() {
  std::array<char, kMaxDatagramBytes> buf;
  for (int i = 0; i < kMaxDatagramsPerEvent; ++i) {
    sockaddr_in socket_address{};
    socklen_t socket_address_length = sizeof(socket_address);
    const ssize_t n = recvfrom(fd_, buf.data(), buf.size(), MSG_DONTWAIT,
                               reinterpret_cast<sockaddr*>(&socket_address),
                               &socket_address_length);
    if (n < 0) return;
    received_bytes_ += static_cast<uint64_t>(n);
    const Address from{ntohl(socket_address.sin_addr.s_addr),
                       ntohs(socket_address.sin_port)};
    handler_(from, {buf.data(), static_cast<size_t>(n)});
  }
}

}  // namespace buckthorncart
