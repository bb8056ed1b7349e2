#include "Daemon/address_check.h"

#include <arpa/inet.h>
#include <sys/socket.h>
#include <unistd.h>

#include <array>
#include <string>

#include "Daemon/daemon_settings.h"

namespace buckthorncart {
namespace {

struct NamedAddress {
  const char* flag;
  Address address;

  std::string Describe() const {
    return std::string(flag) + " " + address.ToString();
  }
};

std::array<NamedAddress, 4> OwnAddresses(const DaemonSettings& settings) {
  return {{{"--peer-address", settings.kernel.self},
           {"--callers", settings.driver.callers},
           {"--operators", settings.driver.operators},
           {"--backend-server", settings.kernel.backend}}};
}

/// True if a socket can be bound to `ip`; any free port is taken.
bool CanBind(uint32_t ip) {
  const int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  if (fd < 0) return false;
  sockaddr_in name{};
  name.sin_family = AF_INET;
  name.sin_addr.s_addr = htonl(ip);
  const bool bound =
      bind(fd, reinterpret_cast<sockaddr*>(&name), sizeof(name)) == 0;
  close(fd);
  return bound;
}

}  // namespace

Result<void> CheckAddressesDiffer(const DaemonSettings& settings) {
  const auto addresses = OwnAddresses(settings);
  for (size_t i = 0; i < addresses.size(); ++i) {
    for (size_t k = i + 1; k < addresses.size(); ++k) {
      if (addresses[i].address != addresses[k].address) continue;
      return Fail(
          Errc::kInvalidSetting, addresses[k].Describe(),
          std::string("an address other than that of ") + addresses[i].flag,
          "give each flag an address of its own");
    }
  }
  return {};
}

Result<void> CheckAddressesBelongHere(const DaemonSettings& settings) {
  for (const NamedAddress& item : OwnAddresses(settings)) {
    if (CanBind(item.address.ip)) continue;
    return Fail(Errc::kInvalidSetting, item.Describe(), "an IP of this VM",
                "correct the address");
  }
  return {};
}

}  // namespace buckthorncart
