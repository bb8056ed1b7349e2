#include "Plugins/Quota/granter_choice.h"

#include "Base/digest.h"
#include "Kernel/context.h"

namespace buckthorncart {
namespace {

/// Unanswered messages in a row after which a granter is avoided, and for how
/// long.
constexpr uint32_t kMaxSilence = 3;
constexpr Duration kAvoidTime = 3s;

}  // namespace

Address GranterChoice::Of(Context& ctx, uint32_t group) const {
  Address best = ctx.Settings().self;
  const auto weight = [group](Address candidate) {
    return RendezvousWeight(group + 1, AddressHash{}(candidate));
  };
  for (const auto& [address, member] : ctx.Shared().members) {
    if (member.status != MemberStatus::kAlive) continue;
    const auto it = silent_.find(address);
    if (it != silent_.end() && ctx.Now() < it->second.avoid_until) continue;
    const bool self_drains =
        best == ctx.Settings().self && ctx.Shared().draining;
    if (self_drains || weight(address) > weight(best)) best = address;
  }
  return best;
}

void GranterChoice::RecordSilence(Address granter, Time now) {
  Silence& silence = silent_[granter];
  if (++silence.count < kMaxSilence) return;
  Avoid(granter, now);
}

void GranterChoice::RecordReply(Address granter) { silent_.erase(granter); }

void GranterChoice::Avoid(Address granter, Time now) {
  silent_[granter] = {0, now + kAvoidTime};
}

}  // namespace buckthorncart
