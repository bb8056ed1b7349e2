#include "Plugins/Quota/token_holder.h"

#include <algorithm>
#include <utility>

#include "Kernel/context.h"
#include "Plugins/Quota/quota_rules.h"
#include "Plugins/Quota/quota_send.h"

namespace buckthorncart {
namespace {

/// Time after which an unanswered request is repeated. A granter whose share of
/// its processor is used up answers within it.
constexpr Duration kReplyTimeout = 100ms;
constexpr uint32_t kMaxUnanswered = 3;
/// Retry-After of calls that were refused because no granter answers.
constexpr uint32_t kUnansweredRetryMs = 300;
/// Calls that are expected within this time are asked for ahead.
constexpr double kAheadS = 0.2;
constexpr uint32_t kMinAhead = 2;
constexpr Duration kMinRetry = 50ms;

}  // namespace

void TokenHolder::Attach(Context& ctx) {
  ctx.AllMetrics().Add(&counters_);
  ctx.AllMetrics().AddGauge("quota_calls_waiting", [this] {
    size_t n = 0;
    for (const auto& [name, holding] : holdings_) n += holding.waiting.size();
    return static_cast<double>(n);
  });
}

QuotaDecision TokenHolder::Ask(Context& ctx, uint64_t call,
                               const Workspace& workspace) {
  if (!rules_.enforces) return {QuotaVerdict::kAdmitted, {}};
  Holding& holding = holdings_[workspace.name];
  holding.rate_per_1000_s = workspace.rate_per_1000_s;
  holding.burst = workspace.burst;
  holding.demand.Add(1.0, ctx.Now());
  calls_[call] = {workspace.name, {}};
  if (TakeToken(ctx, holding, call)) return {QuotaVerdict::kAdmitted, {}};
  if (ctx.Now() < holding.paused_until) {
    calls_.erase(call);
    return {QuotaVerdict::kRefused,
            Refuse(ctx, workspace.name, holding, "paused")};
  }
  holding.waiting.push_back(call);
  if (holding.request == 0) SendRequest(ctx, workspace.name, holding);
  return {QuotaVerdict::kPending, {}};
}

void TokenHolder::Settle(Context& ctx, uint64_t call, bool may_have_run) {
  const auto it = calls_.find(call);
  if (it == calls_.end()) return;
  const CallTokens tokens = std::move(it->second);
  calls_.erase(it);
  const auto held = holdings_.find(tokens.workspace);
  if (held == holdings_.end()) return;
  Holding& holding = held->second;
  if (!tokens.expires_at) {
    std::erase(holding.waiting, call);
    return;
  }
  if (may_have_run || *tokens.expires_at <= ctx.Now()) return;
  counters_.Add(TokenCounter::kReturned);
  holding.batches.push_front({1, *tokens.expires_at});
  AdmitWaiting(ctx, holding);
}

void TokenHolder::DropExpired(Holding& holding, Time now) {
  if (!rules_.expires_tokens) return;
  std::erase_if(holding.batches, [&](const Batch& batch) {
    if (batch.expires_at > now) return false;
    counters_.Add(TokenCounter::kExpired, batch.tokens);
    return true;
  });
}

bool TokenHolder::TakeToken(Context& ctx, Holding& holding, uint64_t call) {
  DropExpired(holding, ctx.Now());
  if (holding.batches.empty()) return false;
  Batch& batch = holding.batches.front();
  calls_[call].expires_at = batch.expires_at;
  counters_.Add(TokenCounter::kAdmitted);
  if (--batch.tokens == 0) holding.batches.pop_front();
  return true;
}

void TokenHolder::SendRequest(Context& ctx, const std::string& name,
                              Holding& holding) {
  const double ahead = holding.demand.Get(ctx.Now()) * kAheadS;
  auto tokens = static_cast<uint32_t>(holding.waiting.size());
  if (ahead >= kMinAhead) tokens += static_cast<uint32_t>(ahead);
  tokens = std::min(tokens, kMaxTokens);
  const Address granter = choice_.Of(ctx, GroupOf(name));
  holding.request = ++next_request_;
  requests_[holding.request] = {name, granter, ctx.Now(), tokens};
  counters_.Add(TokenCounter::kRequests);
  ctx.SetTimerIn(kReplyTimeout, TimerKind::kQuotaRequest, holding.request);
  SendQuota(ctx, granter, TokenRequest{holding.request, name, tokens});
}

void TokenHolder::HandleReply(Context& ctx, const TokenReply& reply) {
  const auto it = requests_.find(reply.number);
  if (it == requests_.end()) return;
  const PendingRequest request = std::move(it->second);
  requests_.erase(it);
  const auto held = holdings_.find(request.workspace);
  if (held == holdings_.end()) return;
  Holding& holding = held->second;
  holding.request = 0;
  holding.last = reply;
  holding.granter = request.granter;
  holding.answered_at = ctx.Now();
  if (reply.is_stopped) {
    choice_.Avoid(request.granter, ctx.Now());
    if (++holding.unanswered < kMaxUnanswered) {
      SendRequest(ctx, request.workspace, holding);
      return;
    }
  } else {
    choice_.RecordReply(request.granter);
  }
  holding.unanswered = 0;
  const Time expires_at = request.sent_at + kTokenLifetime;
  if (reply.tokens > 0)
    holding.batches.push_back({std::min(reply.tokens, kMaxTokens), expires_at});
  holding.paused_until =
      ctx.Now() + std::chrono::milliseconds(std::min(reply.pause_ms, 1'000U));
  AdmitWaiting(ctx, holding);
  if (holding.waiting.empty()) return;
  // Calls that arrived after the request was sent have not been asked for.
  if (reply.tokens > 0 && reply.tokens >= request.tokens) {
    SendRequest(ctx, request.workspace, holding);
    return;
  }
  RefuseWaiting(ctx, request.workspace, holding, "limit");
}

void TokenHolder::AdmitWaiting(Context& ctx, Holding& holding) {
  while (!holding.waiting.empty()) {
    const uint64_t call = holding.waiting.front();
    if (!TakeToken(ctx, holding, call)) return;
    holding.waiting.pop_front();
    ctx.Raise(QuotaDecided{call, true, 0});
  }
}

void TokenHolder::RefuseWaiting(Context& ctx, const std::string& name,
                                Holding& holding, std::string_view reason) {
  for (const uint64_t call : std::exchange(holding.waiting, {})) {
    calls_.erase(call);
    const Duration retry_after = Refuse(ctx, name, holding, reason);
    ctx.Raise(
        QuotaDecided{call, false, static_cast<uint64_t>(retry_after.count())});
  }
}

Duration TokenHolder::Refuse(Context& ctx, const std::string& name,
                             const Holding& holding, std::string_view reason) {
  counters_.Add(TokenCounter::kRefused);
  const TokenReply& last = holding.last;
  const Duration age = ctx.Now() - holding.answered_at;
  const Duration spread(
      ctx.RandomBelow(std::max(last.retry_spread_ms, 1U) * uint32_t{1'000}));
  const Duration earliest =
      std::chrono::milliseconds(last.retry_after_ms) - age;
  const Duration retry_after = std::max(earliest, kMinRetry) + spread;
  ctx.Log(LogTopic::kQuotaRefused,
          {{"workspace", name},
           {"reason", std::string(reason)},
           {"rate_per_1000_s", std::to_string(holding.rate_per_1000_s)},
           {"burst", std::to_string(holding.burst)},
           {"granter", holding.granter.ToString()},
           {"shares", std::to_string(last.shares)},
           {"all_shares", std::to_string(kShareCount)},
           {"milli_tokens", std::to_string(last.milli_tokens)},
           {"answer_age_ms", std::to_string(ToMilliseconds(age))},
           {"retry_after_ms", std::to_string(ToMilliseconds(retry_after))}});
  return retry_after;
}

void TokenHolder::HandleTimeout(Context& ctx, uint64_t request) {
  const auto it = requests_.find(request);
  if (it == requests_.end()) return;
  const PendingRequest pending = std::move(it->second);
  requests_.erase(it);
  counters_.Add(TokenCounter::kUnanswered);
  choice_.RecordSilence(pending.granter, ctx.Now());
  const auto held = holdings_.find(pending.workspace);
  if (held == holdings_.end()) return;
  Holding& holding = held->second;
  holding.request = 0;
  if (holding.waiting.empty()) return;
  if (++holding.unanswered < kMaxUnanswered) {
    SendRequest(ctx, pending.workspace, holding);
    return;
  }
  holding.unanswered = 0;
  holding.last = {};
  holding.last.retry_after_ms = kUnansweredRetryMs;
  holding.last.retry_spread_ms = kUnansweredRetryMs;
  holding.granter = pending.granter;
  holding.answered_at = ctx.Now();
  holding.paused_until = ctx.Now() + kReplyTimeout;
  RefuseWaiting(ctx, pending.workspace, holding, "no-answer");
}

void TokenHolder::HandleLimits(Context& ctx) {
  const auto& workspaces = ctx.Shared().held->configuration.workspaces;
  std::erase_if(holdings_, [&](const auto& entry) {
    const Holding& holding = entry.second;
    const auto it = workspaces.find(entry.first);
    const bool is_limited = it != workspaces.end() && HasLimit(it->second);
    return !is_limited && holding.waiting.empty();
  });
  for (auto& [name, holding] : holdings_) {
    const auto it = workspaces.find(name);
    if (it == workspaces.end()) continue;
    const bool is_same =
        it->second.rate_per_1000_s == holding.rate_per_1000_s &&
        it->second.burst == holding.burst;
    if (is_same) continue;
    holding.batches.clear();
    holding.paused_until = {};
  }
}

}  // namespace buckthorncart
