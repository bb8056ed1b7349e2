#include "Base/address.h"

#include <arpa/inet.h>

#include <charconv>

namespace buckthorncart {

std::string Address::IpString() const {
  const in_addr network{htonl(ip)};
  char buf[INET_ADDRSTRLEN];
  inet_ntop(AF_INET, &network, buf, sizeof(buf));
  return buf;
}

std::string Address::ToString() const {
  return IpString() + ":" + std::to_string(port);
}

Result<Address> Address::Parse(std::string_view text) {
  const auto failure = Fail(Errc::kInvalidSetting, std::string(text), "IP:PORT",
                            "give an IPv4 address and a port from 1 to 65535");
  const size_t colon = text.rfind(':');
  if (colon == std::string_view::npos) return failure;
  const std::string host(text.substr(0, colon));
  in_addr network{};
  if (inet_pton(AF_INET, host.c_str(), &network) != 1) return failure;
  const std::string_view digits = text.substr(colon + 1);
  Address address;
  const auto [end, ec] = std::from_chars(
      digits.data(), digits.data() + digits.size(), address.port);
  const bool whole = ec == std::errc() && end == digits.data() + digits.size();
  if (!whole || address.port == 0) return failure;
  address.ip = ntohl(network.s_addr);
  return address;
}

}  // namespace buckthorncart
