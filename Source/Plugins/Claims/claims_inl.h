#pragma once
/// \file
/// Definitions of `Claims`; include claims.h.

#include <utility>

#include "Base/overload.h"
#include "Kernel/claim_writer.h"
#include "Plugins/Claims/claims.h"
#include "Wire/codec.h"

namespace buckthorncart {

/// Limit of the claims of one daemon that wait for a transaction or whose
/// requests run.
inline constexpr size_t kMaxClaims = 4'096;
/// Limit of the records and releases of one daemon that wait for the platform.
inline constexpr size_t kMaxPendingWrites = 4'096;
/// Limit of the repetitions of a transaction whose answer was lost.
inline constexpr uint32_t kMaxLostAnswerRetries = 2;
/// Limit of the queries to one claimant, which are repeated when its connection
/// is lost.
inline constexpr uint32_t kMaxClaimantQueries = 2;

template <ClaimRules Rules>
void Claims<Rules>::Attach(Context& ctx) {
  ctx.AllMetrics().Add(&counters_);
  ctx.AllMetrics().AddGauge(
      "claims_active", [this] { return static_cast<double>(claims_.size()); });
  ctx.AllMetrics().AddGauge("claim_writes_pending", [this] {
    return static_cast<double>(pending_writes_.size() +
                               writes_in_flight_.size());
  });
  ctx.AllMetrics().AddGauge("claim_circuit_open", [this] {
    return circuit_breaker_.IsOpen() ? 1.0 : 0.0;
  });
}

template <ClaimRules Rules>
void Claims<Rules>::Handle(Context& ctx, const Event& event) {
  std::visit(
      Overload{
          [&](const ClaimRequested& e) { HandleClaimRequested(ctx, e); },
          [&](const ClaimUnused& e) { HandleClaimUnused(ctx, e.run); },
          [&](const ClaimWritten& e) { HandleClaimWritten(ctx, e); },
          [&](const BackendAnswered& e) { HandleBackendAnswer(ctx, e); },
          [&](const PeerConnectionLost& e) { HandlePeerLost(ctx, e.peer); },
          [&](const PeerMessageReceived& e) {
            if (const auto* query = std::get_if<ClaimQuery>(&e.message)) {
              HandleClaimQuery(ctx, e.from, *query);
            } else if (const auto* report =
                           std::get_if<ClaimReport>(&e.message)) {
              HandleClaimReport(ctx, e.from, *report);
            } else if (const auto* outcome =
                           std::get_if<OutcomeQuery>(&e.message)) {
              HandleOutcomeQuery(ctx, e.from, *outcome);
            }
          },
          [&](const TimerFired& e) {
            if (e.kind == TimerKind::kClaimTimeout) {
              HandleDeadline(ctx, e.argument);
            } else if (e.kind == TimerKind::kTick) {
              SendPendingWrites(ctx);
            }
          },
          [](const auto&) {},
      },
      event);
}

template <ClaimRules Rules>
typename Claims<Rules>::Claim* Claims<Rules>::FindByRun(uint64_t run) {
  const auto it = row_key_by_run_.find(run);
  return it == row_key_by_run_.end() ? nullptr : &claims_.at(it->second);
}

template <ClaimRules Rules>
void Claims<Rules>::HandleClaimRequested(Context& ctx,
                                         const ClaimRequested& requested) {
  counters_.Add(ClaimCounter::kWanted);
  const Call& call = requested.call;
  const CallKey call_key{requested.from, call.id};
  const std::string row_key = ClaimRowKey(call.service, call.idempotency_key);
  const ClaimResult not_run{ClaimOutcome::kNeverRan, false, {}};
  // It may have been reported to the calling daemon that this call never runs.
  const ClaimResult* reported = outcomes_.FindCall(call_key, row_key);
  if (Rules::kRefuseCallsReportedNotRun && reported != nullptr &&
      reported->outcome == ClaimOutcome::kNeverRan) {
    DenyRun(ctx, requested.run, Errc::kConnectionLost, not_run);
    return;
  }
  const auto it = claims_.find(row_key);
  if (it != claims_.end()) {
    Join(ctx, it->second, requested, call.fingerprint);
    return;
  }
  if (claims_.size() >= kMaxClaims ||
      pending_writes_.size() >= kMaxPendingWrites) {
    DenyRun(ctx, requested.run, Errc::kOverloaded, not_run);
    return;
  }
  if (Rules::kShortCircuit && !circuit_breaker_.Allow(ctx.Now())) {
    counters_.Add(ClaimCounter::kShortCircuit);
    DenyRun(ctx, requested.run, Errc::kPlatformUnavailable, not_run);
    return;
  }
  const Duration remaining = std::chrono::milliseconds(call.remaining_ms);
  Claim& claim = claims_[row_key];
  claim.run = requested.run;
  claim.call = call_key;
  claim.row_key = row_key;
  claim.row.id = {ctx.Settings().self, ctx.Shared().self.incarnation,
                  ++next_sequence_};
  claim.row.fingerprint = call.fingerprint;
  claim.row.wall_ms = ctx.WallMilliseconds();
  claim.deadline = ctx.Now() + remaining;
  row_key_by_run_[requested.run] = row_key;
  ctx.SetTimerIn(remaining, TimerKind::kClaimTimeout, requested.run);
  Write(ctx, claim);
}

template <ClaimRules Rules>
void Claims<Rules>::Join(Context& ctx, Claim& claim,
                         const ClaimRequested& requested,
                         uint64_t fingerprint) {
  if (Rules::kCompareRequests && claim.row.fingerprint != fingerprint) {
    DenyRun(ctx, requested.run, Errc::kIdempotencyKeyReused,
            {ClaimOutcome::kNeverRan, false, {}});
    return;
  }
  counters_.Add(ClaimCounter::kJoined);
  claim.joined.push_back(requested.run);
  joined_runs_[requested.run] = {{requested.from, requested.call.id},
                                 claim.row_key};
  ctx.SetTimerIn(std::chrono::milliseconds(requested.call.remaining_ms),
                 TimerKind::kClaimTimeout, requested.run);
}

template <ClaimRules Rules>
void Claims<Rules>::Write(Context& ctx, Claim& claim) {
  claim.stage = Stage::kWriting;
  Transaction transaction;
  if (Rules::kInsertOnlyIfAbsent || claim.replaced_row) {
    transaction.conditions = {{claim.row_key, claim.replaced_row}};
  }
  transaction.writes = {{claim.row_key, Encode(claim.row)}};
  counters_.Add(ClaimCounter::kWrites);
  const auto tag = ctx.Shared().claim_writer->Write(
      ctx, std::move(transaction), claim.lost_answer_retries > 0);
  if (tag) {
    run_by_tag_[*tag] = claim.run;
    return;
  }
  circuit_breaker_.RecordFailure(ctx.Now());
  Refuse(ctx, claim, Errc::kPlatformUnavailable);
}

template <ClaimRules Rules>
void Claims<Rules>::HandleClaimWritten(Context& ctx,
                                       const ClaimWritten& replied) {
  const PlatformStatus status = replied.reply.status;
  const bool failed = status == PlatformStatus::kUnavailable ||
                      status == PlatformStatus::kUnknown;
  const auto pending = writes_in_flight_.find(replied.tag);
  const auto tag = run_by_tag_.find(replied.tag);
  if (pending == writes_in_flight_.end() && tag == run_by_tag_.end()) return;
  if (failed && !replied.relay_failed) {
    circuit_breaker_.RecordFailure(ctx.Now());
  } else if (!failed) {
    circuit_breaker_.RecordSuccess();
  }
  if (pending != writes_in_flight_.end()) {
    if (failed) pending_writes_.push_back(std::move(pending->second));
    writes_in_flight_.erase(pending);
    PublishPendingWrites(ctx);
    return;
  }
  const uint64_t run = tag->second;
  run_by_tag_.erase(tag);
  Claim* claim = FindByRun(run);
  if (claim == nullptr || claim->stage != Stage::kWriting) return;
  HandleInsertReply(ctx, *claim, replied.reply);
}

template <ClaimRules Rules>
void Claims<Rules>::HandleInsertReply(Context& ctx, Claim& claim,
                                      const PlatformReply& reply) {
  switch (reply.status) {
    case PlatformStatus::kOk:
      Grant(ctx, claim);
      return;
    case PlatformStatus::kHistoryLost:
    case PlatformStatus::kUnavailable:
      Refuse(ctx, claim, Errc::kPlatformUnavailable);
      return;
    case PlatformStatus::kUnknown:
      HandleLostAnswer(ctx, claim);
      return;
    case PlatformStatus::kConditionFailed:
      break;
  }
  const auto it = reply.rows.find(claim.row_key);
  if (it == reply.rows.end()) {
    claim.replaced_row.reset();
    Write(ctx, claim);
    return;
  }
  HandleOccupied(ctx, claim, it->second);
}

template <ClaimRules Rules>
void Claims<Rules>::HandleLostAnswer(Context& ctx, Claim& claim) {
  if (!Rules::kSettleLostAnswers) {
    Grant(ctx, claim);
    return;
  }
  if (claim.lost_answer_retries >= kMaxLostAnswerRetries) {
    Release(ctx, claim, Errc::kPlatformAnswerLost);
    return;
  }
  // Repeats the same transaction: if the first one was carried out, the
  // condition fails and the row contains the id of this claim.
  ++claim.lost_answer_retries;
  counters_.Add(ClaimCounter::kSettled);
  Write(ctx, claim);
}

template <ClaimRules Rules>
void Claims<Rules>::HandleOccupied(Context& ctx, Claim& claim,
                                   const std::string& found_row) {
  const auto row = Decode<ClaimRow>(found_row);
  if (!row) {
    Deny(ctx, claim, Errc::kClaimUndecided, {});
    return;
  }
  if (row->id == claim.row.id) {
    Grant(ctx, claim);
    return;
  }
  counters_.Add(ClaimCounter::kOccupied);
  if (Rules::kCompareRequests && row->fingerprint != claim.row.fingerprint) {
    Deny(ctx, claim, Errc::kIdempotencyKeyReused,
         {ClaimOutcome::kNeverRan, false, {}});
    return;
  }
  claim.found_row = found_row;
  claim.holder = row->id;
  if (row->result.outcome != ClaimOutcome::kRunning) {
    HandleHolderResult(ctx, claim, row->result);
    return;
  }
  QueryClaimant(ctx, claim);
}

template <ClaimRules Rules>
void Claims<Rules>::QueryClaimant(Context& ctx, Claim& claim) {
  if (claim.claimant_queries >= kMaxClaimantQueries) {
    if (!Rules::kTakeOverOnlyIfNeverRan) {
      TakeOver(ctx, claim);
      return;
    }
    Deny(ctx, claim, Errc::kClaimUndecided, {});
    return;
  }
  claim.stage = Stage::kQuerying;
  ++claim.claimant_queries;
  ctx.Shared().peer_last_used[claim.holder.claimant] = ctx.Now();
  ctx.Send(claim.holder.claimant, ClaimQuery{claim.row_key, claim.holder});
}

template <ClaimRules Rules>
void Claims<Rules>::HandleClaimReport(Context& ctx, Address /*from*/,
                                      const ClaimReport& report) {
  const auto it = claims_.find(report.row_key);
  if (it == claims_.end()) return;
  Claim& claim = it->second;
  if (claim.stage != Stage::kQuerying || claim.holder != report.id) return;
  HandleHolderResult(ctx, claim, report.result);
}

template <ClaimRules Rules>
void Claims<Rules>::HandleHolderResult(Context& ctx, Claim& claim,
                                       const ClaimResult& result) {
  switch (result.outcome) {
    case ClaimOutcome::kRunning:
      return;
    case ClaimOutcome::kNeverRan:
      TakeOver(ctx, claim);
      return;
    case ClaimOutcome::kUnknown:
      if (!Rules::kTakeOverOnlyIfNeverRan) {
        TakeOver(ctx, claim);
        return;
      }
      Deny(ctx, claim, Errc::kClaimUndecided, result);
      return;
    case ClaimOutcome::kRan:
      Deny(ctx, claim, Errc::kAnswerNotKept, result);
      return;
  }
}

template <ClaimRules Rules>
void Claims<Rules>::TakeOver(Context& ctx, Claim& claim) {
  counters_.Add(ClaimCounter::kTakenOver);
  claim.replaced_row = claim.found_row;
  Write(ctx, claim);
}

template <ClaimRules Rules>
void Claims<Rules>::Grant(Context& ctx, Claim& claim) {
  // The deadline counts from the arrival of the call, on a clock that also
  // advances while the daemon is frozen.
  if (Rules::kCheckDeadline && ctx.Now() >= claim.deadline) {
    Release(ctx, claim, Errc::kDeadlineExpired);
    return;
  }
  counters_.Add(ClaimCounter::kGranted);
  claim.stage = Stage::kGranted;
  ctx.Raise(ClaimGranted{claim.run});
}

}  // namespace buckthorncart
