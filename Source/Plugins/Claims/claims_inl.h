#pragma once
/// \file
/// Definitions of `Claims`; include claims.h.

#include <utility>

#include "Base/overload.h"
#include "Kernel/claim_writer.h"
#include "Plugins/Claims/claims.h"
#include "Wire/codec.h"

namespace buckthorncart {

/// Claims that wait for a transaction or run, in one daemon.
inline constexpr size_t kMaxClaims = 4'096;
/// Records and releases that wait for the platform, in one daemon.
inline constexpr size_t kMaxPendingWrites = 4'096;
/// Repetitions of a transaction whose answer was lost.
inline constexpr uint32_t kMaxSettles = 2;
/// Times that one claimant is asked after its connection was lost.
inline constexpr uint32_t kMaxAsks = 2;

template <ClaimRules Rules>
void Claims<Rules>::Attach(Context& ctx) {
  ctx.AllMetrics().Add(&counters_);
  ctx.AllMetrics().AddGauge(
      "claims_active", [this] { return static_cast<double>(claims_.size()); });
  ctx.AllMetrics().AddGauge("claim_writes_pending", [this] {
    return static_cast<double>(pending_.size() + pending_tags_.size());
  });
  ctx.AllMetrics().AddGauge("claim_circuit_open",
                            [this] { return circuit_.IsOpen() ? 1.0 : 0.0; });
}

template <ClaimRules Rules>
void Claims<Rules>::Handle(Context& ctx, const Event& event) {
  std::visit(
      Overload{
          [&](const ClaimRequested& e) { HandleWanted(ctx, e); },
          [&](const ClaimUnused& e) { HandleUnused(ctx, e.run); },
          [&](const ClaimWritten& e) { HandleReply(ctx, e); },
          [&](const BackendAnswered& e) { HandleAnswer(ctx, e); },
          [&](const PeerConnectionLost& e) { HandlePeerLost(ctx, e.peer); },
          [&](const PeerMessageReceived& e) {
            if (const auto* query = std::get_if<ClaimQuery>(&e.message)) {
              HandleQuery(ctx, e.from, *query);
            } else if (const auto* report =
                           std::get_if<ClaimReport>(&e.message)) {
              HandleReport(ctx, e.from, *report);
            } else if (const auto* outcome =
                           std::get_if<OutcomeQuery>(&e.message)) {
              HandleOutcomeQuery(ctx, e.from, *outcome);
            }
          },
          [&](const TimerFired& e) {
            if (e.kind == TimerKind::kClaimTimeout) {
              HandleDeadline(ctx, e.argument);
            } else if (e.kind == TimerKind::kTick) {
              SendPending(ctx);
            }
          },
          [](const auto&) {},
      },
      event);
}

template <ClaimRules Rules>
typename Claims<Rules>::Claim* Claims<Rules>::FindByRun(uint64_t run) {
  const auto it = row_of_run_.find(run);
  return it == row_of_run_.end() ? nullptr : &claims_.at(it->second);
}

template <ClaimRules Rules>
void Claims<Rules>::HandleWanted(Context& ctx, const ClaimRequested& wanted) {
  counters_.Add(ClaimCounter::kWanted);
  const Call& call = wanted.call;
  const CallKey call_key{wanted.from, call.id};
  const std::string row_key = ClaimRowKey(call.service, call.idempotency_key);
  const ClaimResult not_run{ClaimOutcome::kNeverRan, false, {}};
  // The calling daemon has been told that this call never runs.
  const ClaimResult* promised = outcomes_.FindCall(call_key, row_key);
  if (Rules::kRefuseCallsReportedNotRun && promised != nullptr &&
      promised->outcome == ClaimOutcome::kNeverRan) {
    DenyRun(ctx, wanted.run, Errc::kConnectionLost, not_run);
    return;
  }
  const auto it = claims_.find(row_key);
  if (it != claims_.end()) {
    Join(ctx, it->second, wanted, call.fingerprint);
    return;
  }
  if (claims_.size() >= kMaxClaims || pending_.size() >= kMaxPendingWrites) {
    DenyRun(ctx, wanted.run, Errc::kOverloaded, not_run);
    return;
  }
  if (Rules::kShortCircuit && !circuit_.Allow(ctx.Now())) {
    counters_.Add(ClaimCounter::kShortCircuit);
    DenyRun(ctx, wanted.run, Errc::kPlatformUnavailable, not_run);
    return;
  }
  const Duration remaining = std::chrono::milliseconds(call.remaining_ms);
  Claim& claim = claims_[row_key];
  claim.run = wanted.run;
  claim.call = call_key;
  claim.row_key = row_key;
  claim.row.id = {ctx.Settings().self, ctx.Shared().self.incarnation,
                  ++next_sequence_};
  claim.row.fingerprint = call.fingerprint;
  claim.row.wall_ms = ctx.WallMilliseconds();
  claim.deadline = ctx.Now() + remaining;
  row_of_run_[wanted.run] = row_key;
  ctx.SetTimerIn(remaining, TimerKind::kClaimTimeout, wanted.run);
  Write(ctx, claim);
}

template <ClaimRules Rules>
void Claims<Rules>::Join(Context& ctx, Claim& claim,
                         const ClaimRequested& wanted, uint64_t fingerprint) {
  if (Rules::kCompareRequests && claim.row.fingerprint != fingerprint) {
    DenyRun(ctx, wanted.run, Errc::kIdempotencyKeyReused,
            {ClaimOutcome::kNeverRan, false, {}});
    return;
  }
  counters_.Add(ClaimCounter::kJoined);
  claim.joined.push_back(wanted.run);
  joined_[wanted.run] = {{wanted.from, wanted.call.id}, claim.row_key};
  ctx.SetTimerIn(std::chrono::milliseconds(wanted.call.remaining_ms),
                 TimerKind::kClaimTimeout, wanted.run);
}

template <ClaimRules Rules>
void Claims<Rules>::Write(Context& ctx, Claim& claim) {
  claim.stage = Stage::kWriting;
  Transaction transaction;
  if (Rules::kInsertOnlyIfAbsent || claim.replaced) {
    transaction.conditions = {{claim.row_key, claim.replaced}};
  }
  transaction.writes = {{claim.row_key, Encode(claim.row)}};
  counters_.Add(ClaimCounter::kWrites);
  const auto tag = ctx.Shared().claim_writer->Write(ctx, std::move(transaction),
                                                    claim.settles > 0);
  if (tag) {
    run_of_tag_[*tag] = claim.run;
    return;
  }
  circuit_.NoteFailure(ctx.Now());
  Refuse(ctx, claim, Errc::kPlatformUnavailable);
}

template <ClaimRules Rules>
void Claims<Rules>::HandleReply(Context& ctx, const ClaimWritten& replied) {
  const PlatformStatus status = replied.reply.status;
  const bool failed = status == PlatformStatus::kUnavailable ||
                      status == PlatformStatus::kUnknown;
  const auto pending = pending_tags_.find(replied.tag);
  const auto tag = run_of_tag_.find(replied.tag);
  if (pending == pending_tags_.end() && tag == run_of_tag_.end()) return;
  if (failed && !replied.relay_failed) {
    circuit_.NoteFailure(ctx.Now());
  } else if (!failed) {
    circuit_.NoteSuccess();
  }
  if (pending != pending_tags_.end()) {
    if (failed) pending_.push_back(std::move(pending->second));
    pending_tags_.erase(pending);
    NotePending(ctx);
    return;
  }
  const uint64_t run = tag->second;
  run_of_tag_.erase(tag);
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
    claim.replaced.reset();
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
  if (claim.settles >= kMaxSettles) {
    Release(ctx, claim, Errc::kPlatformAnswerLost);
    return;
  }
  // The same transaction once more: if the first one was carried out, its
  // condition fails and the row shows the id of this claim.
  ++claim.settles;
  counters_.Add(ClaimCounter::kSettled);
  Write(ctx, claim);
}

template <ClaimRules Rules>
void Claims<Rules>::HandleOccupied(Context& ctx, Claim& claim,
                                   const std::string& found) {
  const auto row = Decode<ClaimRow>(found);
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
  claim.found = found;
  claim.holder = row->id;
  if (row->result.outcome != ClaimOutcome::kRunning) {
    HandleResult(ctx, claim, row->result);
    return;
  }
  AskClaimant(ctx, claim);
}

template <ClaimRules Rules>
void Claims<Rules>::AskClaimant(Context& ctx, Claim& claim) {
  if (claim.asks >= kMaxAsks) {
    if (!Rules::kTakeOverOnlyIfNeverRan) {
      TakeOver(ctx, claim);
      return;
    }
    Deny(ctx, claim, Errc::kClaimUndecided, {});
    return;
  }
  claim.stage = Stage::kAsking;
  ++claim.asks;
  ctx.Shared().peer_last_used[claim.holder.claimant] = ctx.Now();
  ctx.Send(claim.holder.claimant, ClaimQuery{claim.row_key, claim.holder});
}

template <ClaimRules Rules>
void Claims<Rules>::HandleReport(Context& ctx, Address /*from*/,
                                 const ClaimReport& report) {
  const auto it = claims_.find(report.row_key);
  if (it == claims_.end()) return;
  Claim& claim = it->second;
  if (claim.stage != Stage::kAsking || claim.holder != report.id) return;
  HandleResult(ctx, claim, report.result);
}

template <ClaimRules Rules>
void Claims<Rules>::HandleResult(Context& ctx, Claim& claim,
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
  claim.replaced = claim.found;
  Write(ctx, claim);
}

template <ClaimRules Rules>
void Claims<Rules>::Grant(Context& ctx, Claim& claim) {
  // The deadline counts from the time at which the call arrived, on a clock
  // that also runs while the daemon is frozen.
  if (Rules::kCheckDeadline && ctx.Now() >= claim.deadline) {
    Release(ctx, claim, Errc::kDeadlineExpired);
    return;
  }
  counters_.Add(ClaimCounter::kGranted);
  claim.stage = Stage::kGranted;
  ctx.Raise(ClaimGranted{claim.run});
}

}  // namespace buckthorncart
