/// \file
/// Messages and log lines of `RolloutDecider`.

#include <utility>

#include "Kernel/context.h"
#include "Plugins/Rollouts/fencing_token.h"
#include "Plugins/Rollouts/member_list.h"
#include "Plugins/Rollouts/rollout_decider.h"

namespace buckthorncart {
namespace {

/// Interval at which the other relays hear from the decider.
constexpr Duration kNoticeInterval = 500ms;
/// A decider that cannot read the orders for this long lets another take over.
constexpr Duration kMaxScanAge = 2s;

}  // namespace

void RolloutDecider::LogChange(Context& ctx, const Rollout& rollout,
                               std::string_view reason) const {
  ctx.Log(LogTopic::kRollout,
          {{"decider", lead_.holder.ToString()},
           {"service", rollout.service},
           {"target", rollout.target},
           {"from", rollout.from},
           {"state", std::string(NameOf(rollout.phase))},
           {"step", std::to_string(rollout.step)},
           {"share", std::to_string(rollout.share_per_mille)},
           {"reason", std::string(reason)}},
          rollout.phase == RolloutPhase::kRolledBack ? LogLevel::kWarning
                                                     : LogLevel::kInfo);
}

RolloutStates RolloutDecider::MakeStates(Context& ctx) const {
  const auto age = ToMilliseconds(ctx.Now() - orders_read_at_);
  return {ctx.Settings().self, lead_.token, static_cast<uint32_t>(age), {}};
}

void RolloutDecider::Announce(Context& ctx, const Rollout& rollout) const {
  RolloutStates states = MakeStates(ctx);
  states.rollouts = {rollout};
  for (const Member* member : AllMembers(ctx)) {
    if (member->status <= MemberStatus::kSuspect)
      ctx.Send(member->address, states);
  }
}

void RolloutDecider::NotifyRelays(Context& ctx) {
  const bool reads_orders = ctx.Now() - orders_read_at_ < kMaxScanAge;
  if (!reads_orders || ctx.Now() < next_notice_) return;
  next_notice_ = ctx.Now() + kNoticeInterval;
  for (const auto& [address, member] : ctx.Shared().members) {
    if (member.relays && member.status == MemberStatus::kAlive)
      ctx.Send(address, MakeStates(ctx));
  }
}

void RolloutDecider::HandleReports(Context& ctx, Address from,
                                   const RolloutReports& reports) {
  if (role_ != Role::kLead) {
    const bool is_fresh = ctx.Now() - lead_heard_at_ < kLeadTimeout;
    if (!lead_.holder.IsSet() || !is_fresh) return;
    ctx.Send(from, RolloutStates{lead_.holder, lead_.token, 0, {}});
    return;
  }
  RolloutStates states = MakeStates(ctx);
  for (const RolloutReport& report : reports.reports) {
    const bool may_be_lost =
        !report.applied.target.empty() &&
        report.applied.service == report.service &&
        EraOfToken(report.applied.token) < EraOfToken(lead_.token);
    if (may_be_lost) AddLost(report.applied);
    const auto it = entries_.find(report.service);
    if (it == entries_.end()) {
      Rollout none;
      none.service = report.service;
      states.rollouts.push_back(std::move(none));
      continue;
    }
    it->second.board.AddReport(from, report, ctx.Now());
    // An order that is about to be opened is not denied meanwhile.
    const std::optional<Rollout>& wanted = it->second.wanted;
    const bool opening =
        wanted && wanted->target != it->second.board.Current().target;
    if (opening) continue;
    states.rollouts.push_back(it->second.board.Current());
  }
  ctx.Send(from, std::move(states));
}

void RolloutDecider::HandleStates(Context& ctx, const RolloutStates& states) {
  const Address self = ctx.Settings().self;
  if (!states.lead.IsSet() || states.lead == self) return;
  if (states.token < lead_.token) return;
  if (role_ == Role::kLead) {
    if (states.token == lead_.token) return;
    StepDown(ctx, Role::kObserver);
  }
  lead_ = {states.lead, states.token};
  acknowledged_.clear();
  lead_heard_at_ = ctx.Now();
}

}  // namespace buckthorncart
