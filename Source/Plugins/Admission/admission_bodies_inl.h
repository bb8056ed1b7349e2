#pragma once
/// \file
/// Definitions of `Admission` that handle withheld bodies; included by
/// admission.h.

#include <algorithm>
#include <utility>
#include <vector>

#include "Kernel/context.h"
#include "Plugins/Admission/admission.h"

namespace buckthorncart {

template <RequestRules Rules>
uint64_t Admission<Rules>::FreeBodyMemory(Context& ctx) const {
  const uint64_t own = body_memory_.Free();
  const uint64_t total = BytesOfKib(ctx.Settings().total_body_memory_kib);
  if (total == 0) return own;
  const uint64_t used = body_memory_.Used() + caller_body_bytes_;
  return std::min(own, total - std::min(total, used));
}

template <RequestRules Rules>
Duration Admission<Rules>::LinkWait(const Call& call) const {
  if (call.withheld_bytes == 0) return Duration::zero();
  return body_transfers_.ExpectedWait(WeightOfCall(call));
}

template <RequestRules Rules>
Duration Admission<Rules>::TimeToStart(Context& ctx, const Call& call) {
  return LinkWait(call) + body_transfers_.TransferTime(call.withheld_bytes) +
         SlotWait(ctx, call);
}

template <RequestRules Rules>
void Admission<Rules>::RequestBodies(Context& ctx) {
  for (const auto& range : body_transfers_.TakeRequests(ctx.Now())) {
    const auto [peer, id] = runs_.at(range.run).key;
    ctx.Send(peer, BodyRequest{id, range.offset, range.bytes});
  }
}

template <RequestRules Rules>
void Admission<Rules>::HandleBodyPiece(Context& ctx, Address from,
                                       const BodyPiece& piece) {
  const auto it = run_of_call_.find({from, piece.id});
  if (it == run_of_call_.end()) return;
  const uint64_t run_id = it->second;
  Run& run = runs_.at(run_id);
  std::string& body = run.arriving_body;
  const bool fits = run.awaiting_body && piece.offset == body.size() &&
                    piece.bytes.size() <= run.call.withheld_bytes - body.size();
  // A piece that was requested for an earlier attempt of the call.
  if (!fits) return;
  // The whole size has been counted. Growing in steps would hold more.
  if (body.empty()) body.reserve(run.call.withheld_bytes);
  body += piece.bytes;
  if (!body_transfers_.RecordArrival(run_id, piece.bytes.size(), ctx.Now()))
    return;
  counters_.Add(AdmissionCounter::kBodiesTransferred);
  run.awaiting_body = false;
  run.call.request.body = std::move(run.arriving_body);
  StartOrQueue(ctx, run_id);
}

template <RequestRules Rules>
void Admission<Rules>::RefuseAwaitingBody(Context& ctx, Errc reason) {
  std::vector<uint64_t> awaiting;
  for (const auto& [run_id, run] : runs_) {
    if (run.awaiting_body) awaiting.push_back(run_id);
  }
  for (const uint64_t run_id : awaiting) {
    const CallKey key = runs_.at(run_id).key;
    EndRun(ctx, run_id);
    Refuse(ctx, key, reason);
  }
}

}  // namespace buckthorncart
