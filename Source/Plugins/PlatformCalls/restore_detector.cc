#include "Plugins/PlatformCalls/restore_detector.h"

#include <algorithm>
#include <memory>
#include <string>
#include <utility>
#include <variant>

#include "Kernel/context.h"
#include "Kernel/plugin_registry.h"

namespace buckthorncart {
namespace {

const PluginRegistration kRegistration(
    PluginRank::kPlatformQueue, [](const KernelSettings& /*settings*/) {
      return std::make_unique<RestoreDetector>();
    });

/// Returns the era that the sender of `datagram` has heard of; 0 if it does not
/// say.
uint64_t EraIn(const Datagram& datagram) {
  return std::visit(
      [](const auto& message) -> uint64_t {
        if constexpr (requires { message.platform_era; }) {
          return message.platform_era;
        } else if constexpr (requires { message.gossip; }) {
          return message.gossip.platform_era;
        } else {
          return 0;
        }
      },
      datagram);
}

}  // namespace

void RestoreDetector::Attach(Context& ctx) { ctx.AllMetrics().Add(&counters_); }

void RestoreDetector::Handle(Context& ctx, const Event& event) {
  if (const auto* replied = std::get_if<PlatformReplied>(&event)) {
    ObserveReply(ctx, replied->reply.era);
  } else if (const auto* datagram = std::get_if<DatagramReceived>(&event)) {
    ObservePeer(ctx, EraIn(datagram->message));
  }
}

void RestoreDetector::ObserveReply(Context& ctx, uint64_t era) {
  if (era == 0) return;
  if (era < era_) {
    // A plug-in may have relied on this reply, which is from before the
    // restore.
    Raise(ctx, era_);
    return;
  }
  const bool is_first = std::exchange(era_, era) == 0;
  const uint64_t heard = ctx.Shared().platform_era;
  ctx.Shared().platform_era = std::max(heard, era);
  // A process that has just started has stored nothing in an earlier era.
  if (is_first || era <= heard) return;
  Raise(ctx, era);
  NotifyPeers(ctx);
}

void RestoreDetector::ObservePeer(Context& ctx, uint64_t era) {
  if (era <= ctx.Shared().platform_era) return;
  ctx.Shared().platform_era = era;
  if (era_ != 0) Raise(ctx, era);
}

void RestoreDetector::Raise(Context& ctx, uint64_t era) {
  counters_.Add(RestoreCounter::kRestores);
  ctx.Log(LogTopic::kPlatformState,
          {{"state", "restored"}, {"era", std::to_string(era)}},
          LogLevel::kWarning);
  ctx.Raise(PlatformRestored{era});
}

void RestoreDetector::NotifyPeers(Context& ctx) const {
  const VersionHint hint{ctx.Shared().held->version, ctx.Shared().platform_era};
  for (const auto& [address, member] : ctx.Shared().members) {
    if (member.status <= MemberStatus::kSuspect) ctx.SendUdp(address, hint);
  }
}

}  // namespace buckthorncart
