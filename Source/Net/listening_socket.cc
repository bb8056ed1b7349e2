#include "Net/listening_socket.h"

#include <arpa/inet.h>
#include <linux/filter.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/socket.h>

namespace buckthorncart {
namespace {

bool ListensOn(int fd, Address address) {
  int listens = 0;
  socklen_t size = sizeof(listens);
  if (getsockopt(fd, SOL_SOCKET, SO_ACCEPTCONN, &listens, &size) != 0) {
    return false;
  }
  sockaddr_in name{};
  size = sizeof(name);
  if (getsockname(fd, reinterpret_cast<sockaddr*>(&name), &size) != 0) {
    return false;
  }
  return listens != 0 && name.sin_family == AF_INET &&
         ntohl(name.sin_addr.s_addr) == address.ip &&
         ntohs(name.sin_port) == address.port;
}

}  // namespace

ListeningSocket::ListeningSocket(Address address, int fd_limit) {
  for (int fd = 0; fd < fd_limit && fd_ < 0; ++fd) {
    if (ListensOn(fd, address)) fd_ = fd;
  }
}

void ListeningSocket::IgnoreNewConnections() const {
  if (fd_ < 0) return;
  // A packet filter that accepts no byte drops the packets that open
  // connections.
  sock_filter drop_all[] = {{BPF_RET | BPF_K, 0, 0, 0}};
  const sock_fprog program{1, drop_all};
  setsockopt(fd_, SOL_SOCKET, SO_ATTACH_FILTER, &program, sizeof(program));
}

bool ListeningSocket::IsDrained() const {
  if (fd_ < 0) return true;
  // On a listening socket the kernel reports the accept queue in this field.
  tcp_info info{};
  socklen_t size = sizeof(info);
  if (getsockopt(fd_, IPPROTO_TCP, TCP_INFO, &info, &size) != 0) return true;
  return info.tcpi_unacked == 0;
}

}  // namespace buckthorncart
