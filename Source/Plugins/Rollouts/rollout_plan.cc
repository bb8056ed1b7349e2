#include "Plugins/Rollouts/rollout_plan.h"

#include <algorithm>
#include <array>
#include <cmath>

namespace buckthorncart {
namespace {

/// A step ends after a part of the time until the deadline and uses a part of
/// the exposure that a bad version may have.
struct PlannedStep {
  uint32_t end_per_mille = 0;
  uint32_t exposure_per_mille = 0;
};

/// The exposure of the steps adds up to two fifths of what is allowed. The rest
/// is left for the full step, in which a version that is bad under load only is
/// found out: at the full rate it lasts for 0.7 s of 12 s.
constexpr std::array<PlannedStep, kFullStep> kSteps = {
    {{100, 0}, {240, 50}, {430, 120}, {580, 230}}};

/// Time until the rate of calls is known from reports of all daemons.
constexpr Duration kMeasureTime = 1s;
/// Share of the first step, per mille.
constexpr uint32_t kFirstShare = 10;
/// No step before the full one gives the target version more, per mille.
constexpr uint32_t kMaxPartialShare = 500;
/// Requests that are kept back from the slack, for calls that daemons have sent
/// before they learn of a step.
constexpr uint32_t kReservedSlack = 10;
/// The target version must have this part of the slots of the others.
constexpr double kMinSlotShare = 0.5;
/// Cold start of a backend server, with the time until daemons know of it.
constexpr Duration kColdStart = 4s;
/// Answers past the cold start that the full step requires, unless the time is
/// short.
constexpr uint64_t kMinTimedAnswers = 20;
/// Part of the time after which any number of them is enough, per mille.
constexpr uint32_t kShortTimePerMille = 700;
/// A roll-out that has not reached the full step is rolled back this long
/// before its deadline.
constexpr Duration kDeadlineMargin = 1s;
/// Time for which the target version takes all calls before it succeeds, unless
/// the deadline is near. A version that is slow under load only must answer in
/// this time, and a success cannot be taken back.
constexpr Duration kMinFullTime = 2s;
constexpr double kPerMille = 1'000.0;

Duration PartOf(uint32_t duration_ms, uint32_t per_mille) {
  return std::chrono::microseconds(uint64_t{duration_ms} * per_mille);
}

RolloutChange RollBack(const Rollout& rollout, RolloutReason reason) {
  RolloutChange change{rollout, reason};
  change.next.phase = RolloutPhase::kRolledBack;
  change.next.share_per_mille = 0;
  return change;
}

/// Share of the calls in `step` that uses up the exposure planned for it.
uint32_t ShareOf(uint32_t step, const Rollout& rollout,
                 const RolloutFacts& facts, const ExposureLimit& limit) {
  if (step >= kFullStep) return kFullShare;
  constexpr double kMillisecondsPerSecond = 1'000.0;
  const double calls =
      facts.calls_per_s * rollout.duration_ms / kMillisecondsPerSecond;
  const double slack = limit.slack - std::min(limit.slack, kReservedSlack);
  const double exposure = calls * limit.share_per_mille / kPerMille + slack;
  const uint32_t previous_end = step == 1 ? 0 : kSteps[step - 1].end_per_mille;
  const double part = (kSteps[step].end_per_mille - previous_end) / kPerMille;
  if (calls <= 0) return kMaxPartialShare;
  const double share =
      exposure * kSteps[step].exposure_per_mille / (calls * part);
  const auto per_mille = static_cast<uint32_t>(
      std::min(std::floor(share), double{kMaxPartialShare}));
  return std::max(per_mille, 1U);
}

bool MayTakeAll(const Rollout& rollout, const RolloutFacts& facts) {
  if (facts.target_slots < kMinSlotShare * facts.other_slots) return false;
  const bool short_of_time =
      facts.elapsed >= PartOf(rollout.duration_ms, kShortTimePerMille);
  return short_of_time || (facts.target_age >= kColdStart &&
                           facts.timed_answers >= kMinTimedAnswers);
}

bool MayEnter(uint32_t step, const Rollout& rollout,
              const RolloutFacts& facts) {
  if (facts.target_slots == 0) return false;
  if (step == 1 && facts.calls_per_s > 0) return facts.elapsed >= kMeasureTime;
  const Duration end =
      PartOf(rollout.duration_ms, kSteps[step - 1].end_per_mille);
  if (facts.elapsed < end) return false;
  return step < kFullStep || MayTakeAll(rollout, facts);
}

}  // namespace

Rollout OpenRollout(const RolloutOrder& order, std::string_view from,
                    uint64_t wall_ms) {
  Rollout rollout;
  rollout.service = order.service;
  rollout.target = order.target;
  rollout.from = std::string(from);
  rollout.share_per_mille = kFirstShare;
  rollout.opened_ms = wall_ms;
  rollout.duration_ms = order.duration_ms;
  return rollout;
}

std::optional<RolloutChange> NextState(const Rollout& rollout,
                                       const RolloutFacts& facts,
                                       const ExposureLimit& limit) {
  if (rollout.phase != RolloutPhase::kRunning) return std::nullopt;
  if (facts.verdict == RolloutVerdict::kFailures)
    return RollBack(rollout, RolloutReason::kFailures);
  if (facts.verdict == RolloutVerdict::kSlow)
    return RollBack(rollout, RolloutReason::kSlow);
  if (facts.rejected_by_daemon)
    return RollBack(rollout, RolloutReason::kDaemonEvidence);
  const bool full = rollout.step >= kFullStep;
  if (full && facts.target_slots == 0)
    return RollBack(rollout, RolloutReason::kNoBackendServer);
  const Duration deadline = std::chrono::milliseconds(rollout.duration_ms);
  if (!full && facts.elapsed + kDeadlineMargin >= deadline)
    return RollBack(rollout, RolloutReason::kDeadline);
  if (full) {
    const bool proven = facts.step_age >= kMinFullTime ||
                        facts.elapsed + kDeadlineMargin >= deadline;
    if (!facts.others_stopped || !proven) return std::nullopt;
    RolloutChange done{rollout, RolloutReason::kComplete};
    done.next.phase = RolloutPhase::kSucceeded;
    return done;
  }
  const uint32_t step = rollout.step + 1;
  if (!MayEnter(step, rollout, facts)) return std::nullopt;
  RolloutChange change{rollout, RolloutReason::kStep};
  change.next.step = step;
  change.next.share_per_mille = ShareOf(step, rollout, facts, limit);
  return change;
}

}  // namespace buckthorncart
