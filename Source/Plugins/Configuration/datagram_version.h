#pragma once
/// \file
/// Version of the configuration that a datagram reports.

#include <cstdint>
#include <variant>

#include "Wire/datagrams.h"

namespace buckthorncart {

/// Returns the version that the sender of `datagram` holds; 0 if it does not
/// say.
inline uint64_t VersionIn(const Datagram& datagram) {
  return std::visit(
      [](const auto& message) -> uint64_t {
        if constexpr (requires { message.version; }) {
          return message.version;
        } else if constexpr (requires { message.gossip; }) {
          return message.gossip.version;
        } else {
          return 0;
        }
      },
      datagram);
}

}  // namespace buckthorncart
