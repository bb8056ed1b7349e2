#pragma once
/// \file
/// IPv4 address and port of a process or server.

#include <compare>
#include <cstdint>
#include <msgpack.hpp>
#include <string>
#include <string_view>

#include "Base/result.h"

namespace buckthorncart {

struct Address {
  /// Host byte order.
  uint32_t ip = 0;
  uint16_t port = 0;

  auto operator<=>(const Address&) const = default;
  bool IsSet() const { return port != 0; }

  /// Returns the address as "a.b.c.d:port".
  std::string ToString() const;
  /// Returns the IP address as "a.b.c.d".
  std::string IpString() const;
  /// Parses "a.b.c.d:port"; fails with `kInvalidSetting`.
  static Result<Address> Parse(std::string_view text);

  MSGPACK_DEFINE(ip, port)
};

struct AddressHash {
  size_t operator()(const Address& address) const {
    return (static_cast<size_t>(address.ip) << 16U) ^ address.port;
  }
};

}  // namespace buckthorncart
