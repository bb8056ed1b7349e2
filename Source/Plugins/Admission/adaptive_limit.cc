#include "Plugins/Admission/adaptive_limit.h"

#include <algorithm>
#include <cmath>

namespace buckthorncart {
namespace {

constexpr double kPerMille = 1'000.0;
/// Time constant of the pace under steady traffic.
constexpr Duration kPaceTimeConstant = 1s;
/// Greatest weight of a single run in the pace. Bounds the effect of one slow
/// run when runs are rare.
constexpr double kMaxRunWeight = 0.25;
constexpr double kMinRunWeight = 1.0 / 64;
/// Weight of a run in the pace with the short memory.
constexpr double kRecentWeight = 0.2;
/// Run times are no evidence about the concurrency while the pace changes by
/// more than this factor. Concurrency then is the effect of long run times.
constexpr double kSteadyFactor = 1.5;
/// The mean age of steady runs is at most about their mean time.
constexpr double kStalledAge = 1.5;
/// Weight of the ages of unfinished runs in the pace, five times a second, and
/// the number of runs from which on it is full.
constexpr double kAgeWeight = 0.25;
constexpr double kFullWeightRuns = 8;
/// Runs are at half of their time on average.
constexpr double kTimePerAge = 2.0;
/// The pace is kept for this time without runs, then its difference from 1 is
/// halved in each further such time.
constexpr Duration kPaceHalfLife = 3s;
/// Observed ratios are bounded, so that one run cannot dominate.
constexpr double kMaxRatio = 20.0;
constexpr double kMinRatio = 0.05;
constexpr uint32_t kIntervalSmoothing = 32;
/// Number of runs that are evidence of a slowdown. Neighbouring intervals with
/// fewer are taken together.
constexpr double kMinSamples = 12;
/// Age at which the evidence of an interval is discarded, so that it is probed
/// again.
constexpr Duration kEvidenceLifetime = 10s;
/// Share of the greatest throughput that the limit keeps.
constexpr double kThroughputShare = 0.9;
/// A limit above this share of the announced slots is within the error of the
/// estimate. It is applied only after a lower one.
constexpr double kMaxFirstLimit = 0.7;
/// Least slowdown that is evidence of a limit; smaller ones are noise.
constexpr double kMinSlowdown = 1.2;
/// A slowdown is evidence if it exceeds its standard error by this factor. Runs
/// are not independent: a pause slows down several in a row.
constexpr double kErrorFactor = 4.0;
constexpr double kVarianceWeight = 1.0 / 64;
/// Number of runs in an interval after which the next one may be tried.
constexpr uint32_t kProbeSamples = 6;

/// Adjacent intervals that share one slowdown.
struct Pool {
  double slowdown = 1.0;
  double samples = 0;
  size_t end = 0;
};

}  // namespace

size_t AdaptiveLimit::IntervalOf(uint32_t concurrency, uint32_t announced) {
  const uint64_t below = std::min(concurrency, announced);
  return below == 0 ? 0 : (below * kIntervals - 1) / announced;
}

bool AdaptiveLimit::IsKnown(const Interval& interval, Time now) {
  return interval.samples > 0 && now - interval.updated_at < kEvidenceLifetime;
}

AdaptiveLimit::Slowdowns AdaptiveLimit::NormalisedSlowdowns(Time now) const {
  std::array<Pool, kIntervals> pools;
  size_t count = 0;
  const auto merge_last = [&] {
    Pool& lower = pools[count - 2];
    const Pool& upper = pools[count - 1];
    const double samples = lower.samples + upper.samples;
    lower.slowdown =
        (lower.slowdown * lower.samples + upper.slowdown * upper.samples) /
        samples;
    lower.samples = samples;
    lower.end = upper.end;
    --count;
  };
  // Isotonic regression (pool adjacent violators): the slowdown does not
  // decrease with the concurrency, and noise is averaged out.
  for (size_t i = 0; i < kIntervals; ++i) {
    if (!IsKnown(intervals_[i], now)) continue;
    pools[count++] = {intervals_[i].slowdown,
                      static_cast<double>(intervals_[i].samples), i + 1};
    while (count > 1 &&
           (pools[count - 2].samples < kMinSamples ||
            pools[count - 2].slowdown >= pools[count - 1].slowdown)) {
      merge_last();
    }
  }
  while (count > 1 && pools[count - 1].samples < kMinSamples) merge_last();
  Slowdowns slowdowns;
  slowdowns.factors.fill(1.0);
  if (count > 0) slowdowns.top_samples = pools[count - 1].samples;
  for (size_t pool = 0, i = 0; i < kIntervals && count > 0; ++i) {
    if (i >= pools[pool].end && pool + 1 < count) ++pool;
    slowdowns.factors[i] = pools[pool].slowdown / pools[0].slowdown;
  }
  return slowdowns;
}

void AdaptiveLimit::RecordRun(uint32_t concurrency, Duration time,
                              Duration typical, uint32_t announced, Time now) {
  if (typical <= Duration::zero() || announced == 0) return;
  if (announced != announced_) {
    intervals_ = {};
    limit_.reset();
    announced_ = announced;
  }
  const double ratio = std::clamp(
      static_cast<double>(time.count()) / static_cast<double>(typical.count()),
      kMinRatio, kMaxRatio);
  const size_t index = IntervalOf(concurrency, announced);
  const double unloaded = ratio / NormalisedSlowdowns(now).factors[index];
  UpdatePace(unloaded, now);
  recent_pace_ += (unloaded - recent_pace_) * kRecentWeight;
  const double change = recent_pace_ / pace_;
  if (change > kSteadyFactor || change < 1 / kSteadyFactor) return;
  Interval& interval = intervals_[index];
  if (now - interval.updated_at >= kEvidenceLifetime) interval.samples = 0;
  interval.samples = std::min(interval.samples + 1, kIntervalSmoothing);
  const double difference = ratio / pace_ - interval.slowdown;
  if (interval.samples > 1) {
    variance_ += (difference * difference - variance_) * kVarianceWeight;
  }
  interval.slowdown += difference / interval.samples;
  interval.updated_at = now;
  UpdateLimit(now);
}

void AdaptiveLimit::RecordAges(double mean_age, uint32_t runs, Time now) {
  if (pace_ == 0 || mean_age < pace_ * kStalledAge) return;
  const double observed = std::min(mean_age * kTimePerAge, kMaxRatio);
  const double share = std::min(runs / kFullWeightRuns, 1.0);
  pace_ += (observed - pace_) * kAgeWeight * share;
  recent_pace_ = std::max(recent_pace_, pace_);
  pace_updated_at_ = now;
}

double AdaptiveLimit::PaceAt(Time now) const {
  const Duration idle = now - pace_updated_at_ - kPaceHalfLife;
  if (idle <= Duration::zero()) return pace_;
  const double half_lives = static_cast<double>(idle.count()) /
                            static_cast<double>(kPaceHalfLife.count());
  return 1.0 + (pace_ - 1.0) * std::exp2(-half_lives);
}

void AdaptiveLimit::UpdatePace(double observed, Time now) {
  if (pace_ == 0) {
    pace_ = 1.0;
    recent_pace_ = 1.0;
    pace_updated_at_ = now;
  }
  const auto gap = static_cast<double>((now - pace_updated_at_).count()) /
                   static_cast<double>(kPaceTimeConstant.count());
  pace_ = PaceAt(now);
  pace_ += (observed - pace_) * std::clamp(gap, kMinRunWeight, kMaxRunWeight);
  pace_updated_at_ = now;
}

bool AdaptiveLimit::SlowsDown(const Slowdowns& slowdowns,
                              size_t highest) const {
  const double error =
      std::sqrt(variance_ / std::max(slowdowns.top_samples, 1.0));
  return slowdowns.factors[highest] >=
         std::max(kMinSlowdown, 1.0 + kErrorFactor * error);
}

void AdaptiveLimit::UpdateLimit(Time now) {
  constexpr auto kMaxFirst = static_cast<size_t>(kMaxFirstLimit * kIntervals);
  const Slowdowns slowdowns = NormalisedSlowdowns(now);
  const auto throughput = [&](size_t i) {
    return static_cast<double>(i + 1) / slowdowns.factors[i];
  };
  size_t highest = 0;
  size_t probed = 0;
  double greatest = 0;
  for (size_t i = 0; i < kIntervals; ++i) {
    if (!IsKnown(intervals_[i], now)) continue;
    highest = i;
    if (intervals_[i].samples >= kProbeSamples) probed = i;
    greatest = std::max(greatest, throughput(i));
  }
  if (SlowsDown(slowdowns, highest)) {
    size_t best = 0;
    while (throughput(best) < kThroughputShare * greatest) ++best;
    if (limit_ || best + 1 <= kMaxFirst) limit_ = best + 1;
  } else if (limit_) {
    // One interval above what is known is probed.
    limit_ = std::max(*limit_, probed + 2);
  }
  if (limit_ && *limit_ >= kIntervals) limit_.reset();
}

uint32_t AdaptiveLimit::LimitAt(uint32_t announced, Time now) const {
  if (!limit_ || announced != announced_) return announced;
  // Without evidence the limit is lifted.
  if (now - pace_updated_at_ >= kEvidenceLifetime) return announced;
  const uint64_t limit =
      (uint64_t{announced} * *limit_ + kIntervals - 1) / kIntervals;
  return static_cast<uint32_t>(std::clamp<uint64_t>(limit, 1, announced));
}

uint32_t AdaptiveLimit::PacePerMille(Time now) const {
  if (pace_ == 0) return 0;
  return static_cast<uint32_t>(std::lround(PaceAt(now) * kPerMille));
}

}  // namespace buckthorncart
