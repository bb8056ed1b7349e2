#include "Plugins/Rollouts/rollout_decider.h"

#include <algorithm>
#include <memory>
#include <utility>

#include "Kernel/context.h"
#include "Kernel/platform_queue.h"
#include "Kernel/plugin_registry.h"
#include "Plugins/Rollouts/fencing_token.h"
#include "Plugins/Rollouts/member_list.h"
#include "Plugins/Rollouts/rollout_rows.h"
#include "Wire/codec.h"

namespace buckthorncart {
namespace {

const PluginRegistration kRegistration(
    PluginRank::kConfiguration,
    [](const KernelSettings& /*settings*/) {
      return std::make_unique<RolloutDecider>();
    },
    ConfigurationSource::kFollowed);

constexpr Duration kDecisionInterval = 100ms;
constexpr Duration kScanInterval = 500ms;
/// Additional time until a relay takes over, for each relay that comes before
/// it.
constexpr Duration kRankDelay = 400ms;
/// Time after a take-over in which the daemons report and no step is made.
constexpr Duration kCollectTime = 800ms;
constexpr Duration kRetryInterval = 250ms;
constexpr uint32_t kMaxRows = 500;

}  // namespace

void RolloutDecider::Attach(Context& ctx) {
  if (!ctx.Settings().stages_rollouts) return;
  ctx.AllMetrics().Add(&counters_);
  ctx.AllMetrics().AddGauge(
      "rollout_decider", [this] { return role_ == Role::kLead ? 1.0 : 0.0; });
}

void RolloutDecider::Handle(Context& ctx, const Event& event) {
  if (!ctx.Settings().stages_rollouts) return;
  if (std::holds_alternative<Started>(event)) {
    lead_heard_at_ = ctx.Now();
    ctx.SetTimerIn(kDecisionInterval, TimerKind::kRolloutDecision);
  } else if (const auto* timer = std::get_if<TimerFired>(&event)) {
    if (timer->kind == TimerKind::kRolloutDecision) HandleTimer(ctx);
  } else if (const auto* replied = std::get_if<PlatformReplied>(&event)) {
    HandleReply(ctx, *replied);
  } else if (const auto* message = std::get_if<PeerMessageReceived>(&event)) {
    if (const auto* reports = std::get_if<RolloutReports>(&message->message)) {
      HandleReports(ctx, message->from, *reports);
    } else if (const auto* states =
                   std::get_if<RolloutStates>(&message->message)) {
      HandleStates(ctx, *states);
    }
  } else if (std::holds_alternative<PlatformRestored>(event)) {
    HandleRestore(ctx);
  }
}

void RolloutDecider::HandleTimer(Context& ctx) {
  ctx.SetTimerIn(kDecisionInterval, TimerKind::kRolloutDecision);
  if (role_ == Role::kObserver) ConsiderTakeOver(ctx);
  if (role_ != Role::kLead) return;
  ScanOrders(ctx);
  for (auto& [service, entry] : entries_) {
    Decide(ctx, entry);
    WriteWanted(ctx, entry);
  }
  NotifyRelays(ctx);
}

void RolloutDecider::HandleReply(Context& ctx, const PlatformReplied& replied) {
  const PlatformReply& reply = replied.reply;
  if (tag_ != 0 && replied.tag == tag_) {
    tag_ = 0;
    if (role_ == Role::kReadingLead) {
      HandleLeadRow(ctx, reply);
    } else if (role_ == Role::kWritingLead) {
      HandleLeadWritten(ctx, reply);
    } else if (role_ == Role::kReadingStates) {
      HandleStoredStates(ctx, reply);
    }
    return;
  }
  if (scan_tag_ != 0 && replied.tag == scan_tag_) {
    scan_tag_ = 0;
    if (role_ == Role::kLead) HandleOrders(ctx, reply);
    return;
  }
  for (auto& [service, entry] : entries_) {
    if (entry.tag == 0 || entry.tag != replied.tag) continue;
    entry.tag = 0;
    HandleWritten(ctx, entry, reply);
    return;
  }
}

// Take-over.

void RolloutDecider::ConsiderTakeOver(Context& ctx) {
  const SharedState& shared = ctx.Shared();
  if (!shared.self.relays || shared.draining) return;
  const auto ahead = std::count_if(
      shared.members.begin(), shared.members.end(), [&](const auto& entry) {
        const Member& member = entry.second;
        return member.relays && member.status == MemberStatus::kAlive &&
               member.address < shared.self.address;
      });
  if (ctx.Now() - lead_heard_at_ < kLeadTimeout + kRankDelay * ahead) return;
  ReadLead(ctx);
}

void RolloutDecider::ReadLead(Context& ctx) {
  const auto tag =
      ctx.Shared().platform->Submit(ctx, PlatformPriority::kOperator,
                                    ReadRows{{std::string(kRolloutLeadRow)}});
  if (!tag) return;
  role_ = Role::kReadingLead;
  tag_ = *tag;
}

void RolloutDecider::HandleRestore(Context& ctx) {
  const bool leads = role_ == Role::kLead;
  for (const auto& [service, entry] : entries_) {
    const Rollout& rollout = entry.board.Current();
    if (!rollout.target.empty()) acknowledged_[service] = rollout;
  }
  StepDown(ctx, Role::kObserver);
  if (!leads) return;
  // Others wait until they have not heard of this decider for some time.
  lead_heard_at_ = ctx.Now() - kLeadTimeout;
  ReadLead(ctx);
}

void RolloutDecider::HandleLeadRow(Context& ctx, const PlatformReply& reply) {
  const bool heard = ctx.Now() - lead_heard_at_ < kLeadTimeout;
  if (reply.status != PlatformStatus::kOk || heard) {
    StepDown(ctx, Role::kObserver);
    return;
  }
  const std::string key(kRolloutLeadRow);
  const auto it = reply.rows.find(key);
  lead_row_.reset();
  // Not of an era that a peer has reported, which may be wrong.
  uint64_t token = std::max(lead_.token, FirstTokenOf(reply.era));
  if (it != reply.rows.end()) {
    lead_row_ = it->second;
    const auto row = Decode<RolloutLead>(it->second);
    if (row) token = std::max(token, row->token);
  }
  lead_ = {ctx.Settings().self, token + 1};
  Transaction transaction;
  transaction.conditions.push_back({key, lead_row_});
  lead_row_ = Encode(lead_);
  transaction.writes.push_back({key, lead_row_});
  const auto tag = ctx.Shared().platform->Submit(
      ctx, PlatformPriority::kOperator, std::move(transaction));
  if (!tag) {
    StepDown(ctx, Role::kObserver);
    return;
  }
  role_ = Role::kWritingLead;
  tag_ = *tag;
}

void RolloutDecider::HandleLeadWritten(Context& ctx,
                                       const PlatformReply& reply) {
  // After a lost reply the row is read again; the next token is higher.
  const auto tag =
      reply.status == PlatformStatus::kOk
          ? ctx.Shared().platform->Submit(
                ctx, PlatformPriority::kOperator,
                ScanRows{std::string(kRolloutStatusPrefix), "", kMaxRows})
          : std::nullopt;
  if (!tag) {
    StepDown(ctx, Role::kObserver);
    return;
  }
  role_ = Role::kReadingStates;
  tag_ = *tag;
}

void RolloutDecider::HandleStoredStates(Context& ctx,
                                        const PlatformReply& reply) {
  if (reply.status != PlatformStatus::kOk) {
    StepDown(ctx, Role::kObserver);
    return;
  }
  entries_.clear();
  for (const auto& [key, value] : reply.rows) {
    if (!key.starts_with(kRolloutStatusPrefix)) continue;
    const auto rollout = Decode<Rollout>(value);
    if (!rollout || RolloutStatusKey(rollout->service) != key) continue;
    entries_.emplace(rollout->service,
                     Entry{RolloutBoard(*rollout), value, {}, {}, 0, {}});
  }
  for (const auto& [service, lost] : std::exchange(acknowledged_, {}))
    AddLost(lost);
  role_ = Role::kLead;
  lead_since_ = ctx.Now();
  orders_read_at_ = ctx.Now();
  next_scan_ = ctx.Now();
  counters_.Add(DeciderCounter::kTakeOvers);
  ctx.Log(LogTopic::kRollout, {{"decider", lead_.holder.ToString()},
                               {"token", std::to_string(lead_.token)},
                               {"states", std::to_string(entries_.size())}});
  ScanOrders(ctx);
  next_notice_ = ctx.Now();
  NotifyRelays(ctx);
  for (const auto& [service, entry] : entries_) {
    if (entry.board.Current().phase == RolloutPhase::kRunning)
      Announce(ctx, entry.board.Current());
  }
}

void RolloutDecider::AddLost(const Rollout& lost) {
  const auto it = entries_.find(lost.service);
  if (it == entries_.end()) {
    entries_.emplace(lost.service,
                     Entry{RolloutBoard(lost), {}, {}, {}, 0, {}});
  } else if (lost.Supersedes(it->second.board.Current())) {
    it->second.board.Set(lost);
  } else {
    return;
  }
  Want(entries_.at(lost.service), lost);
}

void RolloutDecider::StepDown(Context& ctx, Role role) {
  if (role_ == Role::kLead) {
    ctx.Log(LogTopic::kRollout,
            {{"decider", "none"}, {"token", std::to_string(lead_.token)}},
            LogLevel::kWarning);
  }
  role_ = role;
  tag_ = 0;
  scan_tag_ = 0;
  entries_.clear();
  lead_row_.reset();
  lead_.holder = {};
  // The next attempt waits as long as the first.
  lead_heard_at_ = ctx.Now();
}

// Decisions.

void RolloutDecider::ScanOrders(Context& ctx) {
  if (scan_tag_ != 0 || ctx.Now() < next_scan_) return;
  next_scan_ = ctx.Now() + kScanInterval;
  const auto tag = ctx.Shared().platform->Submit(
      ctx, PlatformPriority::kOperator,
      ScanRows{std::string(kRolloutOrderPrefix), "", kMaxRows});
  if (!tag) return;
  counters_.Add(DeciderCounter::kOrderScans);
  scan_tag_ = *tag;
}

void RolloutDecider::HandleOrders(Context& ctx, const PlatformReply& reply) {
  if (reply.status != PlatformStatus::kOk) return;
  orders_read_at_ = ctx.Now();
  for (const auto& [key, value] : reply.rows) {
    if (!key.starts_with(kRolloutOrderPrefix)) continue;
    const auto order = Decode<RolloutOrder>(value);
    if (!order || RolloutOrderKey(order->service) != key) continue;
    Open(ctx, *order);
  }
}

void RolloutDecider::Open(Context& ctx, const RolloutOrder& order) {
  const auto it = entries_.find(order.service);
  const Rollout* known = nullptr;
  if (it != entries_.end()) {
    known =
        it->second.wanted ? &*it->second.wanted : &it->second.board.Current();
  }
  // An order that is written again changes nothing.
  if (known != nullptr && known->target == order.target) return;
  const bool running =
      known != nullptr && known->phase == RolloutPhase::kRunning;
  const std::string from =
      running ? known->from
              : PresentVersion(AllMembers(ctx), order.service, order.target);
  Rollout next = OpenRollout(order, from, ctx.WallMilliseconds());
  if (known == nullptr) {
    // Replaced by the opened state once that is stored.
    Rollout none;
    none.service = order.service;
    none.phase = RolloutPhase::kRolledBack;
    entries_.emplace(order.service,
                     Entry{RolloutBoard(none), {}, {}, {}, 0, {}});
  }
  Entry& entry = entries_.at(order.service);
  Want(entry, std::move(next));
  WriteWanted(ctx, entry);
}

void RolloutDecider::Decide(Context& ctx, Entry& entry) {
  if (entry.board.Current().phase != RolloutPhase::kRunning) return;
  // The write of a success may have been applied already.
  if (entry.wanted && entry.wanted->phase == RolloutPhase::kSucceeded) return;
  const RolloutFacts facts =
      entry.board.Facts(AllMembers(ctx), ctx.Now(), ctx.WallMilliseconds());
  const KernelSettings& settings = ctx.Settings();
  auto change = NextState(
      entry.board.Current(), facts,
      {settings.rollout_exposure_per_mille, settings.rollout_exposure_slack});
  if (!change) return;
  const bool rolled_back = change->next.phase == RolloutPhase::kRolledBack;
  const bool other_order_wanted =
      entry.wanted && entry.wanted->target != change->next.target;
  if (other_order_wanted) return;
  if (!rolled_back) {
    if (entry.wanted || ctx.Now() - lead_since_ < kCollectTime) return;
    Want(entry, std::move(change->next));
    return;
  }
  Want(entry, std::move(change->next));
  entry.board.Set(*entry.wanted);
  counters_.Add(DeciderCounter::kRolledBack);
  LogChange(ctx, *entry.wanted, NameOf(change->reason));
  Announce(ctx, *entry.wanted);
}

void RolloutDecider::Want(Entry& entry, Rollout next) const {
  uint64_t revision = entry.board.Current().revision;
  if (entry.wanted) revision = std::max(revision, entry.wanted->revision);
  next.token = lead_.token;
  next.revision = revision + 1;
  entry.wanted = std::move(next);
}

void RolloutDecider::WriteWanted(Context& ctx, Entry& entry) {
  if (!entry.wanted || entry.tag != 0 || ctx.Now() < entry.retry_at) return;
  const std::string key = RolloutStatusKey(entry.wanted->service);
  entry.writing = Encode(*entry.wanted);
  Transaction transaction;
  transaction.conditions.push_back({std::string(kRolloutLeadRow), lead_row_});
  transaction.conditions.push_back({key, entry.stored});
  transaction.writes.push_back({key, entry.writing});
  const auto tag = ctx.Shared().platform->Submit(
      ctx, PlatformPriority::kOperator, std::move(transaction));
  if (!tag) return;
  counters_.Add(DeciderCounter::kWrites);
  entry.tag = *tag;
}

void RolloutDecider::HandleWritten(Context& ctx, Entry& entry,
                                   const PlatformReply& reply) {
  entry.retry_at = ctx.Now() + kRetryInterval;
  if (reply.status == PlatformStatus::kOk) {
    TakeStored(ctx, entry);
    return;
  }
  if (reply.status != PlatformStatus::kConditionFailed) return;
  const auto lead = reply.rows.find(std::string(kRolloutLeadRow));
  if (lead == reply.rows.end() || lead->second != lead_row_) {
    StepDown(ctx, Role::kObserver);
    return;
  }
  // An earlier write was applied although its reply was lost.
  const auto status = reply.rows.find(RolloutStatusKey(entry.wanted->service));
  entry.stored.reset();
  if (status != reply.rows.end()) entry.stored = status->second;
  if (entry.stored == entry.writing) TakeStored(ctx, entry);
}

void RolloutDecider::TakeStored(Context& ctx, Entry& entry) {
  entry.stored = entry.writing;
  entry.retry_at = {};
  // A rollback may have been decided during the write.
  if (Encode(*entry.wanted) != entry.writing) return;
  const Rollout rollout = *std::exchange(entry.wanted, std::nullopt);
  if (entry.board.Current() == rollout) return;
  entry.board.Set(rollout);
  const bool succeeded = rollout.phase == RolloutPhase::kSucceeded;
  counters_.Add(succeeded ? DeciderCounter::kSucceeded
                          : DeciderCounter::kSteps);
  LogChange(ctx, rollout, succeeded ? "complete" : "step");
  Announce(ctx, rollout);
}

}  // namespace buckthorncart
