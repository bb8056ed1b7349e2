#pragma once
/// \file
/// Sends datagrams of the quota, also to this daemon itself.

#include <utility>

#include "Kernel/context.h"

namespace buckthorncart {

/// Sends `message`; if `to` is this daemon, raises it as an event.
inline void SendQuota(Context& ctx, Address to, Datagram message) {
  if (to == ctx.Settings().self) {
    ctx.Raise(DatagramReceived{to, std::move(message)});
    return;
  }
  ctx.SendUdp(to, std::move(message));
}

}  // namespace buckthorncart
