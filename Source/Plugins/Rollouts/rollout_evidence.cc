#include "Plugins/Rollouts/rollout_evidence.h"

#include <algorithm>
#include <cmath>

namespace buckthorncart {
namespace {

/// Fewer bad answers than this reject no version.
constexpr uint64_t kMinBadAnswers = 5;
/// Shares that are accepted whatever the other versions do. Ordinary services
/// answer up to 0.4% of the requests with a failure, and up to 3% several times
/// slower than usual.
constexpr double kAcceptedFailures = 0.01;
constexpr double kAcceptedSlow = 0.05;
/// Factor by which the share may exceed that of the other versions.
constexpr double kAcceptedFactor = 2.0;
/// Answers that the share of the other versions is based on at least, so that a
/// few answers do not count as evidence of a small share.
constexpr double kPriorAnswers = 50.0;

bool IsExcessive(uint64_t bad, uint64_t answers, uint64_t other_bad,
                 uint64_t other_answers, double accepted, double error_rate) {
  if (bad < kMinBadAnswers || bad > answers) return false;
  const double other_share =
      (static_cast<double>(other_bad) + accepted * kPriorAnswers) /
      (static_cast<double>(other_answers) + kPriorAnswers);
  const double limit = std::max(accepted, kAcceptedFactor * other_share);
  if (limit >= 1.0) return false;
  return BinomialTail(bad, answers, limit) < error_rate;
}

VersionCounts Difference(const VersionCounts& now,
                         const VersionCounts& before) {
  return {now.answers - before.answers, now.failures - before.failures,
          now.timed - before.timed, now.slow - before.slow};
}

uint64_t Growth(uint64_t before, uint64_t now) {
  return now >= before ? now - before : now;
}

/// Probability of exactly `k` successes in `n` trials.
double BinomialTerm(double k, double n, double p) {
  return std::exp(std::lgamma(n + 1.0) - std::lgamma(k + 1.0) -
                  std::lgamma(n - k + 1.0) + k * std::log(p) +
                  (n - k) * std::log1p(-p));
}

}  // namespace

double BinomialTail(uint64_t successes, uint64_t trials, double p) {
  if (successes == 0) return 1.0;
  if (successes > trials) return 0.0;
  const auto n = static_cast<double>(trials);
  const auto k = static_cast<double>(successes);
  const double odds = p / (1.0 - p);
  constexpr double kNegligible = 1e-12;
  // The sum goes away from the mean, where the terms shrink.
  const bool is_upper = k > n * p;
  double i = is_upper ? k : k - 1.0;
  double term = BinomialTerm(i, n, p);
  double sum = 0.0;
  while (i >= 0.0 && i <= n) {
    sum += term;
    if (term <= sum * kNegligible) break;
    term *= is_upper ? (n - i) / (i + 1.0) * odds : i / (n - i + 1.0) / odds;
    i += is_upper ? 1.0 : -1.0;
  }
  return std::clamp(is_upper ? sum : 1.0 - sum, 0.0, 1.0);
}

RolloutVerdict CompareVersions(const VersionCounts& target,
                               const VersionCounts& others, double error_rate) {
  if (IsExcessive(target.failures, target.answers, others.failures,
                  others.answers, kAcceptedFailures, error_rate)) {
    return RolloutVerdict::kFailures;
  }
  if (IsExcessive(target.slow, target.timed, others.slow, others.timed,
                  kAcceptedSlow, error_rate)) {
    return RolloutVerdict::kSlow;
  }
  return RolloutVerdict::kNone;
}

RouteEvidence& RolloutEvidence::ForRoute(const std::string& route) {
  RouteEvidence& evidence = routes_[route];
  evidence.route = route;
  return evidence;
}

std::vector<RouteEvidence> RolloutEvidence::ToList() const {
  std::vector<RouteEvidence> list;
  for (const auto& [route, evidence] : routes_) list.push_back(evidence);
  return list;
}

void RolloutEvidence::TakeSample(Time now) {
  samples_.push_back({now, routes_});
  while (samples_.size() > 1 && samples_[1].taken_at + kWindow <= now) {
    samples_.pop_front();
  }
}

RolloutVerdict RolloutEvidence::Judge(double error_rate) const {
  for (const auto& [route, evidence] : routes_) {
    RolloutVerdict verdict =
        CompareVersions(evidence.target, evidence.others, error_rate);
    if (verdict != RolloutVerdict::kNone) return verdict;
    if (samples_.empty()) continue;
    const auto before = samples_.front().routes.find(route);
    if (before == samples_.front().routes.end()) continue;
    verdict =
        CompareVersions(Difference(evidence.target, before->second.target),
                        evidence.others, error_rate);
    if (verdict != RolloutVerdict::kNone) return verdict;
  }
  return RolloutVerdict::kNone;
}

void AddGrowth(const VersionCounts& before, const VersionCounts& now,
               VersionCounts& sum) {
  sum.answers += Growth(before.answers, now.answers);
  sum.failures += Growth(before.failures, now.failures);
  sum.timed += Growth(before.timed, now.timed);
  sum.slow += Growth(before.slow, now.slow);
}

}  // namespace buckthorncart
