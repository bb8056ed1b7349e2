#pragma once
/// \file
/// Definitions of `ClaimRelay`; include claim_relay.h.

#include <algorithm>
#include <utility>

#include "Base/digest.h"
#include "Kernel/context.h"
#include "Kernel/platform_queue.h"
#include "Plugins/Claims/claim_relay.h"

namespace buckthorncart {

/// Minimum interval between two batches of one relay.
inline constexpr Duration kClaimBatchInterval = 10ms;
/// Time added to the platform timeout, after which a relay is considered lost.
inline constexpr Duration kRelayTimeoutMargin = 200ms;
inline constexpr size_t kMaxBatchEntries = 64;
/// Limit of the transactions that wait at one relay.
inline constexpr size_t kMaxQueuedEntries = 8'192;

template <ClaimRelayRules Rules>
void ClaimRelay<Rules>::Attach(Context& ctx) {
  ctx.Shared().claim_writer = this;
  ctx.AllMetrics().Add(&counters_);
}

template <ClaimRelayRules Rules>
void ClaimRelay<Rules>::Handle(Context& ctx, const Event& event) {
  if (const auto* replied = std::get_if<PlatformReplied>(&event)) {
    HandleReply(ctx, *replied);
  } else if (const auto* lost = std::get_if<PeerConnectionLost>(&event)) {
    HandlePeerLost(ctx, lost->peer);
  } else if (const auto* message = std::get_if<PeerMessageReceived>(&event)) {
    if (const auto* write = std::get_if<RelayedWrite>(&message->message)) {
      HandleRelayedWrite(ctx, message->from, *write);
    } else if (const auto* reply =
                   std::get_if<RelayedReply>(&message->message)) {
      if (relay_by_tag_.erase(reply->tag) == 0) return;
      ctx.Raise(ClaimWritten{reply->tag, reply->reply, false});
    }
  } else if (const auto* timer = std::get_if<TimerFired>(&event)) {
    if (timer->kind == TimerKind::kClaimBatch) {
      timer_set_ = false;
      Flush(ctx);
    } else if (timer->kind == TimerKind::kClaimRelayTimeout) {
      FailRelayed(ctx, timer->argument);
    }
  }
}

template <ClaimRelayRules Rules>
void ClaimRelay<Rules>::HandleRelayedWrite(Context& ctx, Address from,
                                           const RelayedWrite& write) {
  Entry entry{from, write.tag, write.transaction};
  if (!entry.transaction.writes.empty()) {
    Enqueue(ctx, std::move(entry));
    return;
  }
  ctx.Log(LogTopic::kPeerFault,
          {{"daemon", from.ToString()}, {"fault", "empty-write"}},
          LogLevel::kWarning);
  Reply(ctx, entry, {PlatformStatus::kUnavailable, {}, {}, 0});
}

template <ClaimRelayRules Rules>
std::optional<uint64_t> ClaimRelay<Rules>::Write(Context& ctx,
                                                 Transaction transaction,
                                                 bool direct) {
  const uint64_t tag = ++next_tag_;
  const Address self = ctx.Settings().self;
  if (direct || !Rules::kRelay) {
    const auto platform_tag = ctx.Shared().platform->Submit(
        ctx, PlatformPriority::kClaim, transaction);
    if (!platform_tag) return std::nullopt;
    batches_[*platform_tag] = {{{self, tag, std::move(transaction)}}, true};
    return tag;
  }
  const Address relay = RelayOf(ctx, transaction.writes.front().key);
  if (relay == self) {
    Enqueue(ctx, {self, tag, std::move(transaction)});
    return tag;
  }
  counters_.Add(ClaimRelayCounter::kRelayed);
  relay_by_tag_[tag] = relay;
  ctx.Shared().peer_last_used[relay] = ctx.Now();
  ctx.SetTimerIn(std::chrono::milliseconds(ctx.Settings().platform_timeout_ms) +
                     kRelayTimeoutMargin,
                 TimerKind::kClaimRelayTimeout, tag);
  ctx.Send(relay, RelayedWrite{tag, std::move(transaction)});
  return tag;
}

template <ClaimRelayRules Rules>
Address ClaimRelay<Rules>::RelayOf(Context& ctx, const std::string& row_key) {
  const uint64_t bucket = DigestOf(row_key) % Rules::kBuckets;
  Address best = ctx.Settings().self;
  uint64_t best_weight = RendezvousWeight(bucket, AddressHash{}(best));
  for (const auto& [address, member] : ctx.Shared().members) {
    if (member.status != MemberStatus::kAlive) continue;
    if (member.data_centre != ctx.Settings().data_centre) continue;
    const uint64_t weight = RendezvousWeight(bucket, AddressHash{}(address));
    if (weight <= best_weight) continue;
    best = address;
    best_weight = weight;
  }
  return best;
}

template <ClaimRelayRules Rules>
void ClaimRelay<Rules>::Enqueue(Context& ctx, Entry entry) {
  if (queue_.size() >= kMaxQueuedEntries) {
    Reply(ctx, entry, {PlatformStatus::kUnavailable, {}, {}});
    return;
  }
  queue_.push_back(std::move(entry));
  Flush(ctx);
}

template <ClaimRelayRules Rules>
void ClaimRelay<Rules>::Flush(Context& ctx) {
  if (batch_in_flight_ || queue_.empty()) return;
  if (ctx.Now() < next_batch_) {
    if (std::exchange(timer_set_, true)) return;
    ctx.SetTimerIn(next_batch_ - ctx.Now(), TimerKind::kClaimBatch);
    return;
  }
  std::vector<Entry> entries = TakeBatch();
  Transaction combined;
  for (const Entry& entry : entries) {
    const auto& [conditions, writes] = entry.transaction;
    combined.conditions.insert(combined.conditions.end(), conditions.begin(),
                               conditions.end());
    combined.writes.insert(combined.writes.end(), writes.begin(), writes.end());
  }
  const auto tag = ctx.Shared().platform->Submit(ctx, PlatformPriority::kClaim,
                                                 std::move(combined));
  next_batch_ = ctx.Now() + kClaimBatchInterval;
  if (!tag) {
    for (const Entry& entry : entries) {
      Reply(ctx, entry, {PlatformStatus::kUnavailable, {}, {}});
    }
    return;
  }
  counters_.Add(ClaimRelayCounter::kBatches);
  counters_.Add(ClaimRelayCounter::kBatched, entries.size());
  batch_in_flight_ = true;
  batches_[*tag] = {std::move(entries), false};
}

template <ClaimRelayRules Rules>
std::vector<typename ClaimRelay<Rules>::Entry> ClaimRelay<Rules>::TakeBatch() {
  std::vector<Entry> entries;
  std::deque<Entry> remaining;
  std::set<std::string> keys;
  for (Entry& entry : queue_) {
    // A batch cannot contain two transactions on the same row.
    const bool fits = entries.size() < kMaxBatchEntries &&
                      keys.insert(entry.transaction.writes.front().key).second;
    if (fits) {
      entries.push_back(std::move(entry));
    } else {
      remaining.push_back(std::move(entry));
    }
  }
  queue_ = std::move(remaining);
  return entries;
}

template <ClaimRelayRules Rules>
void ClaimRelay<Rules>::HandleReply(Context& ctx,
                                    const PlatformReplied& replied) {
  const auto it = batches_.find(replied.tag);
  if (it == batches_.end()) return;
  Batch batch = std::move(it->second);
  batches_.erase(it);
  if (!batch.direct) batch_in_flight_ = false;
  const bool split = replied.reply.status == PlatformStatus::kConditionFailed;
  if (split && batch.entries.size() > 1) {
    Split(ctx, std::move(batch.entries), replied.reply);
  } else {
    for (const Entry& entry : batch.entries) Reply(ctx, entry, replied.reply);
  }
  const bool failed = replied.reply.status == PlatformStatus::kUnavailable ||
                      replied.reply.status == PlatformStatus::kUnknown;
  // Each waiting transaction would run into the same timeout.
  if (failed && !batch.direct) RefuseQueued(ctx);
  Flush(ctx);
}

template <ClaimRelayRules Rules>
void ClaimRelay<Rules>::RefuseQueued(Context& ctx) {
  for (const Entry& entry : std::exchange(queue_, {})) {
    Reply(ctx, entry, {PlatformStatus::kUnavailable, {}, {}});
  }
}

template <ClaimRelayRules Rules>
void ClaimRelay<Rules>::Split(Context& ctx, std::vector<Entry> entries,
                              const PlatformReply& reply) {
  counters_.Add(ClaimRelayCounter::kSplit);
  const auto holds = [&reply](const Condition& condition) {
    const auto it = reply.rows.find(condition.key);
    if (it == reply.rows.end()) return !condition.value.has_value();
    return condition.value == it->second;
  };
  for (Entry& entry : entries) {
    const auto& conditions = entry.transaction.conditions;
    if (std::all_of(conditions.begin(), conditions.end(), holds)) {
      queue_.push_front(std::move(entry));
      continue;
    }
    PlatformReply failure{PlatformStatus::kConditionFailed, {}, {}};
    for (const Condition& condition : conditions) {
      const auto it = reply.rows.find(condition.key);
      if (it != reply.rows.end()) failure.rows.insert(*it);
    }
    Reply(ctx, entry, std::move(failure));
  }
}

template <ClaimRelayRules Rules>
void ClaimRelay<Rules>::Reply(Context& ctx, const Entry& entry,
                              PlatformReply reply) {
  if (entry.from == ctx.Settings().self) {
    ctx.Raise(ClaimWritten{entry.tag, std::move(reply), false});
    return;
  }
  ctx.Send(entry.from, RelayedReply{entry.tag, std::move(reply)});
}

template <ClaimRelayRules Rules>
void ClaimRelay<Rules>::HandlePeerLost(Context& ctx, Address peer) {
  std::vector<uint64_t> tags;
  for (const auto& [tag, relay] : relay_by_tag_) {
    if (relay == peer) tags.push_back(tag);
  }
  for (const uint64_t tag : tags) FailRelayed(ctx, tag);
}

template <ClaimRelayRules Rules>
void ClaimRelay<Rules>::FailRelayed(Context& ctx, uint64_t tag) {
  if (relay_by_tag_.erase(tag) == 0) return;
  counters_.Add(ClaimRelayCounter::kRelayFailed);
  ctx.Raise(ClaimWritten{tag, {PlatformStatus::kUnknown, {}, {}}, true});
}

}  // namespace buckthorncart
