#pragma once
/// \file
/// Definitions of `Admission` that learn the capacity of the local backend
/// server; included by admission.h.

#include "Kernel/context.h"
#include "Plugins/Admission/admission.h"

namespace buckthorncart {

template <RequestRules Rules>
bool Admission<Rules>::LearnsSlots(Context& ctx) const {
  return ctx.Settings().slot_policy == SlotPolicy::kLearned;
}

template <RequestRules Rules>
void Admission<Rules>::RecordRunTime(Context& ctx, const Run& run,
                                     Duration time) {
  if (!LearnsSlots(ctx)) return;
  adaptive_limit_.RecordRun(run.concurrency, time,
                            std::chrono::milliseconds(run.call.typical_ms),
                            backend_.slots, ctx.Now());
}

template <RequestRules Rules>
void Admission<Rules>::UpdateCapacity(Context& ctx) {
  if (!LearnsSlots(ctx) || backend_.state != BackendState::kReady) return;
  double ages = 0;
  uint32_t runs = 0;
  for (const auto& [id, run] : runs_) {
    if (!run.started || run.call.typical_ms == 0) continue;
    const Duration typical = std::chrono::milliseconds(run.call.typical_ms);
    ages += static_cast<double>((ctx.Now() - run.started_at).count()) /
            static_cast<double>(typical.count());
    ++runs;
  }
  if (runs > 0) adaptive_limit_.RecordAges(ages / runs, runs, ctx.Now());
  const LearnedCapacity learned{
      adaptive_limit_.LimitAt(backend_.slots, ctx.Now()),
      adaptive_limit_.PacePerMille(ctx.Now())};
  if (!capacity_report_.ShouldReport(learned, ctx.Now())) return;
  counters_.Add(AdmissionCounter::kCapacityReports);
  ctx.Log(LogTopic::kCapacityLearned,
          {{"slots", std::to_string(backend_.slots)},
           {"capacity", std::to_string(learned.capacity)},
           {"pace_per_mille", std::to_string(learned.pace_per_mille)}});
  ctx.Raise(LocalCapacityChanged{learned.capacity, learned.pace_per_mille});
}

}  // namespace buckthorncart
