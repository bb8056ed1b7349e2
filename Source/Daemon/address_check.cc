#include "Daemon/address_check.h"

#include <arpa/inet.h>
#include <sys/socket.h>
#include <unistd.h>

#include <array>
#include <string>

#include "Daemon/daemon_settings.h"

namespace buckthorncart {
namespace {

struct FlagAddress {
  const char* flag;
  Address address;

  std::string Describe() const {
    return std::string(flag) + " " + address.ToString();
  }
};

std::array<FlagAddress, 4> AddressSettings(const DaemonSettings& settings) {
  return {{{"--peer-address", settings.kernel.self},
           {"--callers", settings.driver.callers},
           {"--operators", settings.driver.operators},
           {"--backend-server", settings.kernel.backend}}};
}

/// Returns whether a socket can be bound to `ip` on an ephemeral port.
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
  const auto addresses = AddressSettings(settings);
  for (size_t i = 0; i < addresses.size(); ++i) {
    for (size_t k = i + 1; k < addresses.size(); ++k) {
      if (addresses[i].address != addresses[k].address) continue;
      return Fail(
          Errc::kInvalidSetting, addresses[k].Describe(),
          std::string("an address different from that of ") + addresses[i].flag,
          "set a different address for each flag");
    }
  }
  return {};
}

Result<void> CheckAddressesAreLocal(const DaemonSettings& settings) {
  for (const FlagAddress& item : AddressSettings(settings)) {
    if (CanBind(item.address.ip)) continue;
    return Fail(Errc::kInvalidSetting, item.Describe(), "an IP of this VM",
                "correct the address");
  }
  return {};
}

}  // namespace buckthorncart
