#pragma once
/// \file
/// Statistical comparison of a new version of a service with the present one.

#include <cstdint>
#include <deque>
#include <map>
#include <string>
#include <vector>

#include "Base/time.h"
#include "Wire/rollout_messages.h"

namespace buckthorncart {

/// Probability of at least `successes` successes in `trials` independent trials
/// with success probability `p`, which is in (0, 1).
double BinomialTail(uint64_t successes, uint64_t trials, double p);

/// What the comparison of two versions on one route shows.
enum class RolloutVerdict : uint8_t { kNone, kFailures, kSlow };

template <>
struct EnumNames<RolloutVerdict> {
  static constexpr std::string_view kNames[] = {"none", "failures", "slow"};
};

/// Probability with which one comparison rejects a version that is as good as
/// the present one. The decider compares about 120 times in a roll-out, on a
/// few routes and two criteria. The tests of one roll-out depend on one
/// another, so that the bound 120 x 3 x 2 x 1e-5 = 0.7% of good versions is not
/// reached.
inline constexpr double kDeciderErrorRate = 1e-5;
/// The same for a daemon that judges by what it has seen itself; smaller, since
/// any of some hundred daemons may reject the version.
inline constexpr double kDaemonErrorRate = 1e-7;

/// Compares the answers of the target version with those of the other versions
/// on the same route by a one-sided binomial test, which is exact for small
/// numbers. The target version is rejected if its share of failures, or of slow
/// answers, is larger than twice that of the others and than a minimum, at the
/// given error rate.
RolloutVerdict CompareVersions(const VersionCounts& target,
                               const VersionCounts& others, double error_rate);

/// Evidence on all routes of a service, with the part of the last seconds, so
/// that a version that has been good for long is still rejected soon after it
/// has become bad.
class RolloutEvidence {
 public:
  using ByRoute = std::map<std::string, RouteEvidence>;

  /// Counts of `route`, to be increased.
  RouteEvidence& ForRoute(const std::string& route);
  const ByRoute& Routes() const { return routes_; }
  std::vector<RouteEvidence> ToList() const;
  /// Remembers the present counts as those of `now`.
  void TakeSample(Time now);
  /// Judges separately what is counted from `now` on, because a new step
  /// begins: a version may be bad only under the load of that step.
  void StartWindow(Time now) { samples_ = {{now, routes_}}; }
  /// Returns the verdict on the first route that has one, by all counts and by
  /// those since the oldest sample.
  RolloutVerdict Judge(double error_rate) const;

 private:
  /// Length of the part that is judged in addition to the whole.
  static constexpr Duration kWindow = 2'500ms;

  struct Sample {
    Time taken_at{};
    ByRoute routes;
  };

  ByRoute routes_;
  std::deque<Sample> samples_;
};

/// Adds the growth from `before` to `now`, cumulative counts of one daemon, to
/// `sum`. Counts that are lower than before are those of a restarted daemon.
void AddGrowth(const VersionCounts& before, const VersionCounts& now,
               VersionCounts& sum);

}  // namespace buckthorncart
