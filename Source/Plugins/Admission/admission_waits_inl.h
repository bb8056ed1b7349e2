#pragma once
/// \file
/// Definitions of `Admission` that estimate when a call starts and ends;
/// included by admission.h.

#include "Plugins/Admission/admission.h"

namespace buckthorncart {

/// Returns true if a new call can start without waiting.
template <RequestRules Rules>
bool Admission<Rules>::MayStart(Context& ctx, const Call& call) {
  return slots_in_use_ < Slots(ctx) &&
         queue_.MayStart(call.route, WeightOfCall(call), Slots(ctx), ctx.Now());
}

template <RequestRules Rules>
Duration Admission<Rules>::SlotWait(Context& ctx, const Call& call) {
  if (MayStart(ctx, call)) return Duration::zero();
  return queue_.ExpectedWait(call.route, WeightOfCall(call), Slots(ctx),
                             ctx.Now());
}

/// Returns true if a call that starts after `to_start` is expected to end after
/// its deadline.
template <RequestRules Rules>
bool Admission<Rules>::MissesDeadline(Context& ctx, const Call& call,
                                      Duration remaining, Duration to_start) {
  if (!Rules::kCheckServiceTime) return false;
  return remaining < to_start + ServiceTimeOf(call).Expected(ctx.Now());
}

template <RequestRules Rules>
bool Admission<Rules>::MissesTarget(Context& ctx, const Call& call,
                                    Duration to_start) {
  if (call.target_ms == ~0U) return false;
  const Duration target = std::chrono::milliseconds(call.target_ms);
  const Duration expected = to_start + ServiceTimeOf(call).Expected(ctx.Now());
  // A saturated link keeps the expected time near the limit, so that without
  // the margin half of the transferred bodies would miss the target.
  if (call.withheld_bytes > 0) return target < expected * 5 / 4;
  return target < expected;
}

}  // namespace buckthorncart
