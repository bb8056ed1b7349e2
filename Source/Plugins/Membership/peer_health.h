#pragma once
/// \file
/// Finds connections between daemons that have gone silent.

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

/// Rules of the plug-in, which only tests switch off.
template <typename R>
concept PeerHealthRules = requires {
  { R::kResetUnresponsive } -> std::convertible_to<bool>;
};

struct StandardPeerHealthRules {
  /// A connection on which nothing arrives for the peer timeout is closed, so
  /// that the next message opens a new one.
  static constexpr bool kResetUnresponsive = true;
};

/// Watches the connections that carry calls or have done so lately. Any
/// message is a sign of life, so that only quiet ones are pinged; those at
/// rest cost nothing.
template <PeerHealthRules Rules>
class PeerHealth : public Plugin {
 public:
  void Attach(Context& ctx) override { ctx.AllMetrics().Add(&counters_); }

  void Handle(Context& ctx, const Event& event) override {
    if (const auto* received = std::get_if<PeerMessageReceived>(&event)) {
      HandleMessage(ctx, *received);
    } else if (std::holds_alternative<LoopFrozen>(event)) {
      // Nothing could be heard while this daemon stood still.
      watches_.clear();
    } else if (const auto* timer = std::get_if<TimerFired>(&event)) {
      if (timer->kind == TimerKind::kTick) CheckAll(ctx);
    }
  }

 private:
  struct Watch {
    Time heard{};
    Time pinged{};
  };

  /// A connection unused for so long is no longer watched.
  static constexpr Duration kIdle = 10s;
  /// Pings within one peer timeout.
  static constexpr uint32_t kPingsPerTimeout = 3;

  void HandleMessage(Context& ctx, const PeerMessageReceived& received) {
    const auto it = watches_.find(received.from);
    if (it != watches_.end()) it->second.heard = ctx.Now();
    const auto* ping = std::get_if<Ping>(&received.message);
    if (ping != nullptr) ctx.Send(received.from, Pong{ping->sequence});
  }

  void CheckAll(Context& ctx) {
    auto& used = ctx.Shared().peers_used;
    std::erase_if(used, [&](const auto& item) {
      return item.first == ctx.Settings().self ||
             ctx.Now() - item.second > kIdle;
    });
    std::erase_if(watches_,
                  [&](const auto& item) { return !used.contains(item.first); });
    for (const auto& [peer, at] : used) {
      const auto [it, added] =
          watches_.try_emplace(peer, Watch{ctx.Now(), ctx.Now()});
      if (!added) Check(ctx, peer, it->second);
    }
  }

  void Check(Context& ctx, Address peer, Watch& watch) {
    const Duration timeout =
        std::chrono::milliseconds(ctx.Settings().peer_timeout_ms);
    const Duration silence = ctx.Now() - watch.heard;
    if (Rules::kResetUnresponsive && silence >= timeout) {
      counters_.Add(PeerHealthCounter::kResets);
      ctx.Log(LogTopic::kPeerFault,
              {{"daemon", peer.ToString()}, {"fault", "silent"}},
              LogLevel::kWarning);
      ctx.Emit(ResetPeer{peer});
      watch = {ctx.Now(), ctx.Now()};
      return;
    }
    const Duration interval = timeout / kPingsPerTimeout;
    if (silence < interval || ctx.Now() - watch.pinged < interval) return;
    watch.pinged = ctx.Now();
    counters_.Add(PeerHealthCounter::kPings);
    ctx.Send(peer, Ping{++sequence_});
  }

  std::map<Address, Watch> watches_;
  uint64_t sequence_ = 0;
  Counters<PeerHealthCounter> counters_;
};

}  // namespace buckthorncart
