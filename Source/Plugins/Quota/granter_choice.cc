#include "Plugins/Quota/granter_choice.h"

#include <algorithm>
#include <utility>

#include "Base/digest.h"
#include "Kernel/context.h"

namespace buckthorncart {
namespace {

/// Unanswered messages in a row after which a granter is avoided, and for how
/// long.
constexpr uint32_t kMaxSilence = 3;
constexpr Duration kAvoidTime = 3s;
constexpr size_t kMaxCandidates = 32;

}  // namespace

Address GranterChoice::Of(Context& ctx, uint32_t group) {
  const bool drains = ctx.Shared().draining;
  const bool has_changed = std::exchange(drains_, drains) != drains;
  if (candidates_.empty() || has_changed) FindCandidates(ctx);
  const auto weight = [group](Address candidate) {
    return RendezvousWeight(group + 1, AddressHash{}(candidate));
  };
  Address best;
  for (const Address candidate : candidates_) {
    if (IsAvoided(candidate, ctx.Now())) continue;
    if (!best.IsSet() || weight(candidate) > weight(best)) best = candidate;
  }
  return best.IsSet() ? best : ctx.Settings().self;
}

void GranterChoice::FindCandidates(Context& ctx) {
  using Age = std::pair<uint64_t, Address>;
  std::vector<Age> ages;
  const Member& self = ctx.Shared().self;
  if (!drains_) ages.emplace_back(self.incarnation, ctx.Settings().self);
  for (const auto& [address, member] : ctx.Shared().members) {
    if (member.status == MemberStatus::kAlive)
      ages.emplace_back(member.incarnation, address);
  }
  const size_t n = std::min(ages.size(), kMaxCandidates);
  std::partial_sort(ages.begin(), ages.begin() + static_cast<ptrdiff_t>(n),
                    ages.end());
  candidates_.clear();
  for (size_t i = 0; i < n; ++i) candidates_.push_back(ages[i].second);
}

bool GranterChoice::IsAvoided(Address granter, Time now) const {
  const auto it = silent_.find(granter);
  return it != silent_.end() && now < it->second.avoid_until;
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
