#pragma once
/// \file
/// Detects connections between daemons on which nothing arrives any more.

#include <concepts>
#include <cstdint>
#include <map>
#include <string_view>

#include "Base/address.h"
#include "Base/time.h"
#include "Kernel/context.h"
#include "Kernel/counters.h"
#include "Kernel/plugin.h"

namespace buckthorncart {

enum class PeerHealthCounter : uint8_t { kPings, kResets };

template <>
struct EnumNames<PeerHealthCounter> {
  static constexpr std::string_view kNames[] = {"peer_pings_total",
                                                "peer_resets_total"};
};

/// Policy type of `PeerHealth`. Only tests disable a rule.
template <typename R>
concept PeerHealthRules = requires {
  { R::kResetUnresponsive } -> std::convertible_to<bool>;
};

struct StandardPeerHealthRules {
  /// A connection on which nothing arrives for the peer timeout is closed, so
  /// that the next message opens a new one.
  static constexpr bool kResetUnresponsive = true;
};

/// Monitors the connections that carry calls or have done so recently. Any
/// received message shows that a connection works, so a connection is pinged
/// only when nothing has been received on it for an interval. Connections that
/// are not in use are not pinged.
template <PeerHealthRules Rules>
class PeerHealth : public Plugin {
 public:
  void Attach(Context& ctx) override { ctx.AllMetrics().Add(&counters_); }

  void Handle(Context& ctx, const Event& event) override {
    if (const auto* received = std::get_if<PeerMessageReceived>(&event)) {
      HandleMessage(ctx, *received);
    } else if (std::holds_alternative<EventLoopStalled>(event)) {
      // This daemon could receive nothing while its event loop was blocked, so
      // the receive times say nothing about the peers.
      connections_.clear();
    } else if (const auto* timer = std::get_if<TimerFired>(&event)) {
      if (timer->kind == TimerKind::kTick) CheckConnections(ctx);
    }
  }

 private:
  /// Times of the last received message and of the last ping.
  struct MonitoredConnection {
    Time last_received{};
    Time last_ping{};
  };

  /// A connection that has not been used for this time is no longer monitored.
  static constexpr Duration kIdleTimeout = 10s;
  /// Number of pings within one peer timeout.
  static constexpr uint32_t kPingsPerTimeout = 3;

  void HandleMessage(Context& ctx, const PeerMessageReceived& received) {
    const auto it = connections_.find(received.from);
    if (it != connections_.end()) it->second.last_received = ctx.Now();
    const auto* ping = std::get_if<Ping>(&received.message);
    if (ping != nullptr) ctx.Send(received.from, Pong{ping->sequence});
  }

  void CheckConnections(Context& ctx) {
    auto& used = ctx.Shared().peer_last_used;
    std::erase_if(used, [&](const auto& item) {
      return item.first == ctx.Settings().self ||
             ctx.Now() - item.second > kIdleTimeout;
    });
    std::erase_if(connections_,
                  [&](const auto& item) { return !used.contains(item.first); });
    for (const auto& [peer, last_used] : used) {
      const auto [it, added] = connections_.try_emplace(
          peer, MonitoredConnection{ctx.Now(), ctx.Now()});
      if (!added) CheckConnection(ctx, peer, it->second);
    }
  }

  void CheckConnection(Context& ctx, Address peer,
                       MonitoredConnection& connection) {
    const Duration timeout =
        std::chrono::milliseconds(ctx.Settings().peer_timeout_ms);
    const Duration time_since_received = ctx.Now() - connection.last_received;
    if (Rules::kResetUnresponsive && time_since_received >= timeout) {
      counters_.Add(PeerHealthCounter::kResets);
      ctx.Log(LogTopic::kPeerFault,
              {{"daemon", peer.ToString()}, {"fault", "silent"}},
              LogLevel::kWarning);
      ctx.Emit(ClosePeerConnection{peer});
      connection = {ctx.Now(), ctx.Now()};
      return;
    }
    const Duration interval = timeout / kPingsPerTimeout;
    if (time_since_received < interval ||
        ctx.Now() - connection.last_ping < interval)
      return;
    connection.last_ping = ctx.Now();
    counters_.Add(PeerHealthCounter::kPings);
    ctx.Send(peer, Ping{++sequence_});
  }

  std::map<Address, MonitoredConnection> connections_;
  uint64_t sequence_ = 0;
  Counters<PeerHealthCounter> counters_;
};

}  // namespace buckthorncart
