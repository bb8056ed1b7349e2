#pragma once
/// \file
/// Definitions of `ChangeAcceptor`; include change_acceptor.h.

#include <algorithm>
#include <utility>

#include "Config/edit_overlap.h"
#include "Kernel/context.h"
#include "Kernel/platform_queue.h"
#include "Kernel/url_query.h"
#include "Plugins/Configuration/change_acceptor.h"
#include "Wire/codec.h"

namespace buckthorncart {

inline constexpr Duration kSettleRetryInterval = 500ms;

/// Returns a conflict with the change that produced `version`.
inline Failure ConflictWith(const std::string& object, uint64_t version,
                            const std::string& operation) {
  return {Errc::kConflict,
          object + " changed by version " + std::to_string(version) +
              (operation.empty() ? "" : " by operation " + operation),
          "objects that are unchanged since the base version",
          "review the new version and apply the change again"};
}

template <AcceptanceRules Rules>
void ChangeAcceptor<Rules>::Attach(Context& ctx) {
  ctx.AllMetrics().Add(&counters_);
}

template <AcceptanceRules Rules>
void ChangeAcceptor<Rules>::Handle(Context& ctx, const Event& event) {
  if (const auto* replied = std::get_if<PlatformReplied>(&event)) {
    if (!current_ || current_->tag != replied->tag) return;
    current_->tag.reset();
    HandleReply(ctx, replied->reply);
  } else if (const auto* timer = std::get_if<TimerFired>(&event)) {
    HandleTimer(ctx, *timer);
  } else if (std::holds_alternative<ConfigurationAdopted>(event)) {
    ContinueIfCaughtUp(ctx);
  } else if (const auto* message = std::get_if<PeerMessageReceived>(&event)) {
    if (const auto* held = std::get_if<VersionHeld>(&message->message)) {
      HandleVersionHeld(ctx, message->from, held->version);
    }
  }
}

template <AcceptanceRules Rules>
bool ChangeAcceptor<Rules>::HandleOperator(Context& ctx,
                                           const OperatorRequested& request) {
  const Url url = ParseUrl(request.http.path);
  if (url.path != "/v1/changes" || request.http.method != "POST") return false;
  Submit(ctx, request);
  return true;
}

template <AcceptanceRules Rules>
void ChangeAcceptor<Rules>::Transact(Context& ctx) {
  Operation& operation = *current_;
  if (auto conflict = FindConflict(ctx, operation)) {
    RefuseUnlessRecorded(ctx, *conflict);
    return;
  }
  const Snapshot& held = *ctx.Shared().held;
  auto result = Rules::kValidateResult
                    ? ApplyEdits(held.configuration, operation.edits)
                    : ApplyEditsUnchecked(held.configuration, operation.edits);
  if (!result) {
    RefuseUnlessRecorded(ctx, ExplainInvalid(ctx, operation, result.error()));
    return;
  }
  const HeadRow head{held.version, held.digest};
  const HeadRow next{held.version + 1, result->Digest()};
  operation.change = {next.version, operation.id, operation.edits, next.digest,
                      ctx.WallMilliseconds()};
  Transaction transaction;
  const bool first = held.version == 0;
  transaction.conditions = {{OperationKey(operation.id), std::nullopt}};
  if (Rules::kConditionOnHead) {
    transaction.conditions.push_back(
        {kHeadKey, first ? std::nullopt : std::optional(Encode(head))});
  }
  transaction.writes = {
      {kHeadKey, Encode(next)},
      {ChangeKey(next.version), Encode(operation.change)},
      {OperationKey(operation.id),
       Encode(OperationRow{next.version, operation.edits_digest})}};
  operation.phase = Phase::kTransact;
  operation.tag = ctx.Shared().platform->Submit(
      ctx, PlatformPriority::kOperator, std::move(transaction));
  if (operation.tag) return;
  AnswerRefused(ctx, {Errc::kQueueFull, "requests to the platform",
                      "free space in the queue", "try again"});
}

template <AcceptanceRules Rules>
std::optional<Failure> ChangeAcceptor<Rules>::FindConflict(
    Context& ctx, const Operation& operation) const {
  const uint64_t held = ctx.Shared().held->version;
  if (!Rules::kRejectConflicts || operation.base >= held) return std::nullopt;
  uint64_t retained = 0;
  std::string object;
  for (const Change& change : *ctx.Shared().recent_changes) {
    if (change.version <= operation.base) continue;
    ++retained;
    if (TouchSameObject(change.edits, operation.edits, object)) {
      return ConflictWith(object, change.version, change.operation_id);
    }
  }
  // A change that is no longer retained could have edited any object.
  if (retained == held - operation.base) return std::nullopt;
  return ConflictWith("configuration", held, "");
}

template <AcceptanceRules Rules>
Failure ChangeAcceptor<Rules>::ExplainInvalid(Context& ctx,
                                              const Operation& operation,
                                              const Failure& failure) const {
  if (!Rules::kReportInvalidatingChange) return failure;
  std::string object;
  for (const Change& change : *ctx.Shared().recent_changes) {
    if (change.version <= operation.base) continue;
    if (!CanInvalidate(change.edits, operation.edits, object)) continue;
    return ConflictWith(object, change.version, change.operation_id);
  }
  return failure;
}

template <AcceptanceRules Rules>
void ChangeAcceptor<Rules>::HandleReply(Context& ctx,
                                        const PlatformReply& reply) {
  switch (current_->phase) {
    case Phase::kTransact:
      HandleTransactReply(ctx, reply);
      break;
    case Phase::kSettle:
      HandleSettleReply(ctx, reply);
      break;
    case Phase::kLookUp:
      HandleLookUpReply(ctx, reply);
      break;
    case Phase::kCatchUp:
    case Phase::kAwaitHolders:
      break;
  }
}

template <AcceptanceRules Rules>
void ChangeAcceptor<Rules>::RefuseUnlessRecorded(Context& ctx,
                                                 const Failure& failure) {
  if (!current_->has_client_id) {
    AnswerRefused(ctx, failure);
    return;
  }
  current_->phase = Phase::kLookUp;
  current_->refusal = failure;
  current_->tag = ctx.Shared().platform->Submit(
      ctx, PlatformPriority::kOperator, ReadRows{{OperationKey(current_->id)}});
  if (!current_->tag) AnswerUndecided(ctx);
}

template <AcceptanceRules Rules>
void ChangeAcceptor<Rules>::HandleLookUpReply(Context& ctx,
                                              const PlatformReply& reply) {
  if (reply.status != PlatformStatus::kOk) {
    AnswerUndecided(ctx);
    return;
  }
  const auto row = reply.rows.find(OperationKey(current_->id));
  if (row == reply.rows.end()) {
    AnswerRefused(ctx, current_->refusal);
    return;
  }
  HandleOperationRow(ctx, row->second);
}

template <AcceptanceRules Rules>
void ChangeAcceptor<Rules>::HandleTransactReply(Context& ctx,
                                                const PlatformReply& reply) {
  switch (reply.status) {
    case PlatformStatus::kOk:
      AwaitHolders(ctx);
      break;
    case PlatformStatus::kConditionFailed:
      HandleConditionFailed(ctx, reply);
      break;
    case PlatformStatus::kHistoryLost:
    case PlatformStatus::kUnavailable:
      AnswerRefused(ctx, {Errc::kPlatformUnavailable, "platform",
                          "an available table service",
                          "nothing was changed; apply again later"});
      break;
    case PlatformStatus::kUnknown:
      counters_.Add(AcceptanceCounter::kAnswersLost);
      if (Rules::kResolveLostReplies) {
        Settle(ctx);
      } else {
        AnswerRefused(ctx, {Errc::kPlatformAnswerLost, "platform", "", ""});
      }
      break;
  }
}

template <AcceptanceRules Rules>
void ChangeAcceptor<Rules>::HandleConditionFailed(Context& ctx,
                                                  const PlatformReply& reply) {
  const auto row = reply.rows.find(OperationKey(current_->id));
  if (row != reply.rows.end()) {
    HandleOperationRow(ctx, row->second);
    return;
  }
  const auto head = reply.rows.find(kHeadKey);
  if (head == reply.rows.end()) {
    AnswerRefused(ctx, {Errc::kInvalidConfiguration, "row head",
                        "a head row on the platform",
                        "check that the platform has not lost data"});
    return;
  }
  const auto decoded = Decode<HeadRow>(head->second);
  if (!decoded || decoded->version < current_->change.version) {
    AnswerRefused(ctx, {Errc::kInvalidConfiguration, "row head",
                        "version " + std::to_string(current_->change.version) +
                            " or above",
                        "check that the platform has not lost data"});
    return;
  }
  counters_.Add(AcceptanceCounter::kRebased);
  current_->phase = Phase::kCatchUp;
  current_->catch_up_version = decoded->version;
  current_->head_row = head->second;
  CatchUp(ctx);
}

template <AcceptanceRules Rules>
void ChangeAcceptor<Rules>::HandleOperationRow(Context& ctx,
                                               const std::string& row) {
  const auto outcome = Decode<OperationRow>(row);
  const std::string subject = "operation " + current_->id;
  const bool withdrawn = outcome && outcome->version == 0;
  if (!outcome ||
      (!withdrawn && outcome->edits_digest != current_->edits_digest)) {
    AnswerRefused(ctx, {Errc::kOperationIdReused, subject,
                        "an id that no other change has used",
                        "choose another operation id"});
    return;
  }
  if (withdrawn) {
    AnswerRefused(ctx, {Errc::kPlatformAnswerLost, subject,
                        "an operation that has not been withdrawn",
                        "nothing was changed; apply with a new operation id"});
    return;
  }
  current_->change.version = outcome->version;
  ctx.Raise(HeadObserved{Encode(HeadRow{outcome->version, 0})});
  AwaitHolders(ctx);
}

template <AcceptanceRules Rules>
void ChangeAcceptor<Rules>::Settle(Context& ctx) {
  current_->phase = Phase::kSettle;
  const std::string key = OperationKey(current_->id);
  current_->tag = ctx.Shared().platform->Submit(
      ctx, PlatformPriority::kOperator,
      Transaction{{{key, std::nullopt}},
                  {{key, Encode(OperationRow{0, current_->edits_digest})}}});
  if (current_->tag) return;
  ctx.SetTimerIn(kSettleRetryInterval, TimerKind::kAcceptanceRetry,
                 current_->number);
}

template <AcceptanceRules Rules>
void ChangeAcceptor<Rules>::HandleSettleReply(Context& ctx,
                                              const PlatformReply& reply) {
  switch (reply.status) {
    case PlatformStatus::kOk:
      AnswerRefused(ctx, {Errc::kPlatformAnswerLost, "platform",
                          "a reply to the transaction",
                          "nothing was changed; apply again"});
      break;
    case PlatformStatus::kConditionFailed:
      HandleConditionFailed(ctx, reply);
      break;
    case PlatformStatus::kHistoryLost:
    case PlatformStatus::kUnavailable:
    case PlatformStatus::kUnknown:
      ctx.SetTimerIn(kSettleRetryInterval, TimerKind::kAcceptanceRetry,
                     current_->number);
      break;
  }
}

template <AcceptanceRules Rules>
void ChangeAcceptor<Rules>::HandleTimer(Context& ctx, const TimerFired& timer) {
  if (timer.kind == TimerKind::kTick) {
    ContinueIfCaughtUp(ctx);
    StartNext(ctx);
    return;
  }
  if (!current_ || timer.argument != current_->number) {
    if (timer.kind == TimerKind::kAcceptance) Expire(ctx, timer.argument);
    return;
  }
  if (timer.kind == TimerKind::kAcceptance) {
    if (current_->phase != Phase::kAwaitHolders) AnswerUndecided(ctx);
  } else if (timer.kind == TimerKind::kAcceptanceRetry) {
    Retry(ctx);
  } else if (timer.kind == TimerKind::kHoldersTimeout) {
    if (current_->phase == Phase::kAwaitHolders) AnswerAccepted(ctx);
  }
}

template <AcceptanceRules Rules>
void ChangeAcceptor<Rules>::Retry(Context& ctx) {
  switch (current_->phase) {
    case Phase::kSettle:
      if (!current_->tag) Settle(ctx);
      break;
    case Phase::kCatchUp:
      CatchUp(ctx);
      break;
    case Phase::kAwaitHolders:
      if (Rules::kResendToOtherMembers) SendToMissingHolders(ctx);
      break;
    case Phase::kTransact:
    case Phase::kLookUp:
      break;
  }
}

template <AcceptanceRules Rules>
void ChangeAcceptor<Rules>::CatchUp(Context& ctx) {
  ctx.Raise(HeadObserved{current_->head_row});
  ctx.SetTimerIn(kSettleRetryInterval, TimerKind::kAcceptanceRetry,
                 current_->number);
}

template <AcceptanceRules Rules>
void ChangeAcceptor<Rules>::ContinueIfCaughtUp(Context& ctx) {
  if (!current_ || current_->phase != Phase::kCatchUp) return;
  if (Rules::kRequireReady && !ctx.Shared().ready) return;
  if (ctx.Shared().held->version >= current_->catch_up_version) Transact(ctx);
}

}  // namespace buckthorncart
