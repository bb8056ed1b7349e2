#include "Plugins/Quota/granter_choice.h"

#include "Kernel/context.h"

namespace buckthorncart {
namespace {

/// Unanswered messages in a row after which a granter is avoided, and for how
/// long.
constexpr uint32_t kMaxSilence = 3;
constexpr Duration kAvoidTime = 3s;

}  // namespace

Address GranterChoice::Of(Context& ctx, uint32_t /*group*/) const {
  return ctx.Settings().self;
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
