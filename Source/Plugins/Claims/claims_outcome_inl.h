#pragma once
/// \file
/// Definitions of `Claims` for the outcomes of claims; include claims.h.

#include <algorithm>
#include <utility>

#include "Plugins/Claims/claim_reply.h"
#include "Plugins/Claims/claims.h"
#include "Plugins/Requests/call_failure.h"
#include "Wire/codec.h"

namespace buckthorncart {

/// Limit of the pending writes sent at a time, for instance after an outage.
inline constexpr size_t kPendingWriteBatch = 4;

template <ClaimRules Rules>
void Claims<Rules>::HandleBackendAnswer(Context& ctx,
                                        const BackendAnswered& answered) {
  Claim* claim = FindByRun(answered.run);
  if (claim == nullptr || claim->stage != Stage::kGranted) return;
  const AnswerPart& part = answered.part;
  if (IsShedAnswer(part) || answered.fault == BackendFault::kNotConnected) {
    HandleClaimUnused(ctx, answered.run);
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
  QueueWrite(ctx, {{{claim->row_key, Encode(claimed)}},
                   {{claim->row_key, Encode(claim->row)}}});
  Finish(ctx, *claim, ClaimResult(result), false,
         broken ? Errc::kBackendServerFailed : Errc::kAnswerNotKept);
}

template <ClaimRules Rules>
void Claims<Rules>::HandleClaimUnused(Context& ctx, uint64_t run) {
  Claim* claim = FindByRun(run);
  if (claim == nullptr || claim->stage != Stage::kGranted) return;
  counters_.Add(ClaimCounter::kReleased);
  QueueWrite(ctx, {{{claim->row_key, Encode(claim->row)}},
                   {{claim->row_key, std::nullopt}}});
  // Admission reports to the run's caller; the runs that joined are denied
  // here.
  Finish(ctx, *claim, {ClaimOutcome::kNeverRan, false, {}}, false,
         Errc::kBackendServerFailed);
}

template <ClaimRules Rules>
void Claims<Rules>::HandleDeadline(Context& ctx, uint64_t run) {
  const auto joined = joined_runs_.find(run);
  if (joined != joined_runs_.end()) {
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
    const bool querying = claim.stage == Stage::kQuerying;
    if (querying && claim.holder.claimant == peer) runs.push_back(claim.run);
  }
  for (const uint64_t run : runs) {
    Claim* claim = FindByRun(run);
    // The table may contain the outcome by now.
    claim->replaced_row.reset();
    Write(ctx, *claim);
  }
}

template <ClaimRules Rules>
void Claims<Rules>::HandleClaimQuery(Context& ctx, Address from,
                                     const ClaimQuery& query) {
  ClaimReport report{query.row_key, query.id, {}};
  const bool same_incarnation =
      query.id.incarnation == ctx.Shared().self.incarnation;
  const auto it = claims_.find(query.row_key);
  const bool active = it != claims_.end() && it->second.row.id == query.id;
  if (same_incarnation && active) {
    it->second.waiting_daemons.push_back(from);
    report.result.outcome = ClaimOutcome::kRunning;
  } else if (same_incarnation) {
    const ClaimResult* recorded = outcomes_.FindClaim(query.id.sequence);
    if (recorded != nullptr) report.result = *recorded;
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
  const ClaimResult* recorded = outcomes_.FindCall(call, row_key);
  if (recorded != nullptr) {
    ReportOutcome(ctx, call, *recorded);
    return;
  }
  const auto it = claims_.find(row_key);
  const bool active = it != claims_.end() && it->second.call == call;
  const bool joined =
      std::any_of(joined_runs_.begin(), joined_runs_.end(),
                  [&](const auto& item) { return item.second.call == call; });
  if (active || joined) {
    queried_calls_[call] = true;
    return;
  }
  if (outcomes_.MayHaveDropped(call)) {
    ReportOutcome(ctx, call, {});
    return;
  }
  // The call has not arrived, or was refused. The entry prevents it from
  // running if it arrives after this answer.
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
  if (claim.lost_answer_retries > 0) {
    Release(ctx, claim, reason);
    return;
  }
  Deny(ctx, claim, reason, {ClaimOutcome::kNeverRan, false, {}});
}

template <ClaimRules Rules>
void Claims<Rules>::Release(Context& ctx, Claim& claim, Errc reason) {
  counters_.Add(ClaimCounter::kReleased);
  QueueWrite(ctx, {{{claim.row_key, Encode(claim.row)}},
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
  const auto joined = joined_runs_.find(run);
  if (joined != joined_runs_.end()) {
    queried_calls_.erase(joined->second.call);
    outcomes_.Add({joined->second.call, joined->second.row_key, 0, result});
    joined_runs_.erase(joined);
  }
  ctx.Raise(ClaimDenied{run, reason, result});
}

template <ClaimRules Rules>
void Claims<Rules>::Finish(Context& ctx, Claim& claim,
                           const ClaimResult& result, bool notify_run,
                           Errc reason) {
  const Claim ended = std::move(claim);
  row_key_by_run_.erase(ended.run);
  claims_.erase(ended.row_key);
  RecordOutcome(ctx, ended, result);
  if (notify_run) DenyRun(ctx, ended.run, reason, result);
  for (const uint64_t run : ended.joined) DenyRun(ctx, run, reason, result);
  for (const Address daemon : ended.waiting_daemons) {
    ctx.Send(daemon, ClaimReport{ended.row_key, ended.row.id, result});
  }
}

template <ClaimRules Rules>
void Claims<Rules>::RecordOutcome(Context& ctx, const Claim& claim,
                                  const ClaimResult& result) {
  outcomes_.Add({claim.call, claim.row_key, claim.row.id.sequence, result});
  if (queried_calls_.erase(claim.call) > 0)
    ReportOutcome(ctx, claim.call, result);
}

template <ClaimRules Rules>
void Claims<Rules>::QueueWrite(Context& ctx, Transaction transaction) {
  pending_writes_.push_back(std::move(transaction));
  PublishPendingWrites(ctx);
  if (!circuit_breaker_.IsOpen()) SendPendingWrites(ctx);
}

template <ClaimRules Rules>
void Claims<Rules>::PublishPendingWrites(Context& ctx) {
  if (!Rules::kRecordBeforeExit) return;
  ctx.Shared().unrecorded_outcomes =
      static_cast<uint32_t>(pending_writes_.size() + writes_in_flight_.size());
}

template <ClaimRules Rules>
void Claims<Rules>::SendPendingWrites(Context& ctx) {
  const size_t batch = circuit_breaker_.IsOpen() ? 1 : kPendingWriteBatch;
  for (size_t i = 0; i < batch && !pending_writes_.empty(); ++i) {
    if (!circuit_breaker_.Allow(ctx.Now())) return;
    const auto tag =
        ctx.Shared().claim_writer->Write(ctx, pending_writes_.front(), false);
    if (!tag) {
      circuit_breaker_.RecordFailure(ctx.Now());
      return;
    }
    counters_.Add(ClaimCounter::kWrites);
    writes_in_flight_.emplace(*tag, std::move(pending_writes_.front()));
    pending_writes_.pop_front();
  }
}

}  // namespace buckthorncart
