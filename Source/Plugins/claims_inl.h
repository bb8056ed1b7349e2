#pragma once
/// \file
/// Definitions of `Claims`; include claims.h.

#include <algorithm>
#include <utility>

#include "Base/overload.h"
#include "Kernel/claim_writer.h"
#include "Plugins/claim_reply.h"
#include "Plugins/claims.h"
#include "Wire/codec.h"

namespace buckthorncart {

/// Claims that wait for a transaction or run, in one daemon.
inline constexpr size_t kMaxClaims = 4'096;
/// Records and releases that wait for the platform, in one daemon.
inline constexpr size_t kMaxPendingWrites = 4'096;
/// Pending writes sent at once after an outage.
inline constexpr size_t kPendingBatch = 4;
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
          [&](const ClaimWanted& e) { HandleWanted(ctx, e); },
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
void Claims<Rules>::HandleWanted(Context& ctx, const ClaimWanted& wanted) {
  counters_.Add(ClaimCounter::kWanted);
  const Call& call = wanted.call;
  const CallKey call_key{wanted.from, call.id};
  const std::string row_key = ClaimRowKey(call.service, call.idempotency_key);
  const ClaimResult not_run{ClaimOutcome::kNeverRan, false, {}};
  // The calling daemon has been told that this call never runs.
  const ClaimResult* promised = outcomes_.FindCall(call_key, row_key);
  if (Rules::kKeepPromises && promised != nullptr &&
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
void Claims<Rules>::Join(Context& ctx, Claim& claim, const ClaimWanted& wanted,
                         uint64_t fingerprint) {
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
    if (!Rules::kTakeOverOnlyByPromise) {
      TakeOver(ctx, claim);
      return;
    }
    Deny(ctx, claim, Errc::kClaimUndecided, {});
    return;
  }
  claim.stage = Stage::kAsking;
  ++claim.asks;
  ctx.Shared().peers_used[claim.holder.claimant] = ctx.Now();
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
      if (!Rules::kTakeOverOnlyByPromise) {
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

template <ClaimRules Rules>
void Claims<Rules>::HandleAnswer(Context& ctx,
                                 const BackendAnswered& answered) {
  Claim* claim = FindByRun(answered.run);
  if (claim == nullptr || claim->stage != Stage::kGranted) return;
  const AnswerPart& part = answered.part;
  const bool refused =
      part.IsHead() &&
      FindHeader(part.headers, header::kOutcome) == NameOf(Outcome::kNotRun);
  if (refused || answered.fault == BackendFault::kNotConnected) {
    HandleUnused(ctx, answered.run);
    return;
  }
  ClaimResult& result = claim->row.result;
  if (part.IsHead()) {
    result.answer_kept = true;
    result.answer = part;
  } else {
    result.answer.body += part.body;
  }
  if (AnswerBytes(result.answer) > kMaxKeptAnswerBytes) {
    result.answer_kept = false;
    result.answer.headers.clear();
    result.answer.body.clear();
  }
  const bool broken = answered.fault == BackendFault::kConnectionBroken ||
                      part.end == AnswerEnd::kBroken;
  if (!broken && part.end == AnswerEnd::kMore) return;
  ClaimRow claimed = claim->row;
  claimed.result = {ClaimOutcome::kRunning, false, {}};
  if (broken) {
    result = {ClaimOutcome::kUnknown, false, {}};
  } else {
    result.outcome = ClaimOutcome::kRan;
    result.answer.end = AnswerEnd::kComplete;
    if (!result.answer_kept) result.answer = {};
  }
  WriteLater(ctx, {{{claim->row_key, Encode(claimed)}},
                   {{claim->row_key, Encode(claim->row)}}});
  Finish(ctx, *claim, ClaimResult(result), false,
         broken ? Errc::kBackendServerFailed : Errc::kAnswerNotKept);
}

template <ClaimRules Rules>
void Claims<Rules>::HandleUnused(Context& ctx, uint64_t run) {
  Claim* claim = FindByRun(run);
  if (claim == nullptr || claim->stage != Stage::kGranted) return;
  counters_.Add(ClaimCounter::kReleased);
  WriteLater(ctx, {{{claim->row_key, Encode(claim->row)}},
                   {{claim->row_key, std::nullopt}}});
  // Admission tells the run's caller; those that joined are told here.
  Finish(ctx, *claim, {ClaimOutcome::kNeverRan, false, {}}, false,
         Errc::kBackendServerFailed);
}

template <ClaimRules Rules>
void Claims<Rules>::HandleDeadline(Context& ctx, uint64_t run) {
  const auto joined = joined_.find(run);
  if (joined != joined_.end()) {
    const auto it = claims_.find(joined->second.row_key);
    if (it != claims_.end()) std::erase(it->second.joined, run);
    DenyRun(ctx, run, Errc::kDeadlineExpired, {});
    return;
  }
  Claim* claim = FindByRun(run);
  if (claim == nullptr || claim->stage == Stage::kGranted) return;
  if (claim->stage == Stage::kWriting) {
    if (Rules::kCheckDeadline) Release(ctx, *claim, Errc::kDeadlineExpired);
    return;
  }
  Deny(ctx, *claim, Errc::kDeadlineExpired, {});
}

template <ClaimRules Rules>
void Claims<Rules>::HandlePeerLost(Context& ctx, Address peer) {
  std::vector<uint64_t> runs;
  for (const auto& [row_key, claim] : claims_) {
    const bool asking = claim.stage == Stage::kAsking;
    if (asking && claim.holder.claimant == peer) runs.push_back(claim.run);
  }
  for (const uint64_t run : runs) {
    Claim* claim = FindByRun(run);
    // The table may hold the outcome by now.
    claim->replaced.reset();
    Write(ctx, *claim);
  }
}

template <ClaimRules Rules>
void Claims<Rules>::HandleQuery(Context& ctx, Address from,
                                const ClaimQuery& query) {
  ClaimReport report{query.row_key, query.id, {}};
  const bool own = query.id.incarnation == ctx.Shared().self.incarnation;
  const auto it = claims_.find(query.row_key);
  const bool active = it != claims_.end() && it->second.row.id == query.id;
  if (own && active) {
    it->second.askers.push_back(from);
    report.result.outcome = ClaimOutcome::kRunning;
  } else if (own) {
    const ClaimResult* known = outcomes_.FindClaim(query.id.sequence);
    if (known != nullptr) report.result = *known;
  }
  ctx.Send(from, std::move(report));
}

template <ClaimRules Rules>
void Claims<Rules>::HandleOutcomeQuery(Context& ctx, Address from,
                                       const OutcomeQuery& query) {
  const CallKey call{from, query.id};
  const std::string row_key = ClaimRowKey(query.service, query.idempotency_key);
  if (query.incarnation != ctx.Shared().self.incarnation) {
    ReportOutcome(ctx, call, {});
    return;
  }
  const ClaimResult* known = outcomes_.FindCall(call, row_key);
  if (known != nullptr) {
    ReportOutcome(ctx, call, *known);
    return;
  }
  const auto it = claims_.find(row_key);
  const bool active = it != claims_.end() && it->second.call == call;
  const bool joined =
      std::any_of(joined_.begin(), joined_.end(),
                  [&](const auto& item) { return item.second.call == call; });
  if (active || joined) {
    asked_calls_[call] = true;
    return;
  }
  if (outcomes_.MayHaveDropped(call)) {
    ReportOutcome(ctx, call, {});
    return;
  }
  // It has not arrived, or was refused. The entry keeps it from running
  // should it arrive after this answer.
  const ClaimResult not_run{ClaimOutcome::kNeverRan, false, {}};
  outcomes_.Add({call, row_key, 0, not_run});
  ReportOutcome(ctx, call, not_run);
}

template <ClaimRules Rules>
void Claims<Rules>::ReportOutcome(Context& ctx, const CallKey& call,
                                  const ClaimResult& result) {
  ctx.Send(call.first,
           MakeClaimReply(call.second, Errc::kConnectionLost, result));
}

template <ClaimRules Rules>
void Claims<Rules>::Refuse(Context& ctx, Claim& claim, Errc reason) {
  // An earlier transaction of the claim may have been carried out.
  if (claim.settles > 0) {
    Release(ctx, claim, reason);
    return;
  }
  Deny(ctx, claim, reason, {ClaimOutcome::kNeverRan, false, {}});
}

template <ClaimRules Rules>
void Claims<Rules>::Release(Context& ctx, Claim& claim, Errc reason) {
  counters_.Add(ClaimCounter::kReleased);
  WriteLater(ctx, {{{claim.row_key, Encode(claim.row)}},
                   {{claim.row_key, std::nullopt}}});
  Deny(ctx, claim, reason, {ClaimOutcome::kNeverRan, false, {}});
}

template <ClaimRules Rules>
void Claims<Rules>::Deny(Context& ctx, Claim& claim, Errc reason,
                         const ClaimResult& result) {
  Finish(ctx, claim, ClaimResult(result), true, reason);
}

template <ClaimRules Rules>
void Claims<Rules>::DenyRun(Context& ctx, uint64_t run, Errc reason,
                            const ClaimResult& result) {
  if (result.outcome == ClaimOutcome::kNeverRan) {
    counters_.Add(ClaimCounter::kDeniedNotRun);
  } else if (result.outcome == ClaimOutcome::kRan) {
    counters_.Add(ClaimCounter::kDeniedAnswered);
  } else {
    counters_.Add(ClaimCounter::kDeniedUnknown);
  }
  const auto joined = joined_.find(run);
  if (joined != joined_.end()) {
    asked_calls_.erase(joined->second.call);
    outcomes_.Add({joined->second.call, joined->second.row_key, 0, result});
    joined_.erase(joined);
  }
  ctx.Raise(ClaimDenied{run, reason, result});
}

template <ClaimRules Rules>
void Claims<Rules>::Finish(Context& ctx, Claim& claim,
                           const ClaimResult& result, bool tell_run,
                           Errc reason) {
  const Claim ended = std::move(claim);
  row_of_run_.erase(ended.run);
  claims_.erase(ended.row_key);
  LogOutcome(ctx, ended, result);
  if (tell_run) DenyRun(ctx, ended.run, reason, result);
  for (const uint64_t run : ended.joined) DenyRun(ctx, run, reason, result);
  for (const Address asker : ended.askers) {
    ctx.Send(asker, ClaimReport{ended.row_key, ended.row.id, result});
  }
}

template <ClaimRules Rules>
void Claims<Rules>::LogOutcome(Context& ctx, const Claim& claim,
                               const ClaimResult& result) {
  outcomes_.Add({claim.call, claim.row_key, claim.row.id.sequence, result});
  if (asked_calls_.erase(claim.call) > 0)
    ReportOutcome(ctx, claim.call, result);
}

template <ClaimRules Rules>
void Claims<Rules>::WriteLater(Context& ctx, Transaction transaction) {
  pending_.push_back(std::move(transaction));
  NotePending(ctx);
  if (!circuit_.IsOpen()) SendPending(ctx);
}

template <ClaimRules Rules>
void Claims<Rules>::NotePending(Context& ctx) {
  if (!Rules::kRecordBeforeExit) return;
  ctx.Shared().unrecorded_outcomes =
      static_cast<uint32_t>(pending_.size() + pending_tags_.size());
}

template <ClaimRules Rules>
void Claims<Rules>::SendPending(Context& ctx) {
  const size_t batch = circuit_.IsOpen() ? 1 : kPendingBatch;
  for (size_t i = 0; i < batch && !pending_.empty(); ++i) {
    if (!circuit_.Allow(ctx.Now())) return;
    const auto tag =
        ctx.Shared().claim_writer->Write(ctx, pending_.front(), false);
    if (!tag) {
      circuit_.NoteFailure(ctx.Now());
      return;
    }
    counters_.Add(ClaimCounter::kWrites);
    pending_tags_.emplace(*tag, std::move(pending_.front()));
    pending_.pop_front();
  }
}

}  // namespace buckthorncart
