#pragma once
/// \file
/// Learns how many concurrent requests a backend server handles well.

#include <array>
#include <cstddef>
#include <cstdint>
#include <optional>

#include "Base/time.h"

namespace buckthorncart {

/// Estimates from the run times of a backend server and the concurrency at
/// their start how fast it is and how many requests it runs before more of them
/// only take longer.
///
/// A run time is modelled as the typical time of its route at all backend
/// servers, times the pace of this one, times a slowdown that depends on the
/// concurrency. Dividing by the typical time makes kinds of work comparable; it
/// also removes waits that all backend servers share, such as those for nested
/// calls. By Little's law the throughput at a concurrency is the concurrency
/// divided by the slowdown, and the limit is the least concurrency with nearly
/// the greatest throughput.
class AdaptiveLimit {
 public:
  /// A run that was one of `concurrency` when it started has taken `time`;
  /// `typical` is the typical time of its route. Has no effect if `typical` is
  /// zero.
  void RecordRun(uint32_t concurrency, Duration time, Duration typical,
                 uint32_t announced, Time now);
  /// `runs` runs that have not ended yet have lasted `mean_age` times their
  /// typical times on average. Reveals that the backend server has become slow
  /// before its runs end.
  void RecordAges(double mean_age, uint32_t runs, Time now);
  /// Forgets all of it, for another backend server.
  void Reset() { *this = AdaptiveLimit(); }

  /// Number of requests that may run at once, from 1 to `announced`.
  uint32_t LimitAt(uint32_t announced, Time now) const;
  /// Run times as a multiple of the typical ones, in per mille; 0 until the
  /// first run. Approaches 1,000 while there are no runs, so that a backend
  /// server that was slow is tried again.
  uint32_t PacePerMille(Time now) const;

 private:
  /// Concurrencies from 1 to the announced slots are divided into this many
  /// intervals.
  static constexpr size_t kIntervals = 16;
  struct Interval {
    /// Run time over typical time and pace.
    double slowdown = 1.0;
    uint32_t samples = 0;
    Time updated_at{};
  };
  struct Slowdowns {
    /// By interval, relative to the least loaded ones; not below 1.
    std::array<double, kIntervals> factors{};
    /// Number of runs that are evidence for the highest of them.
    double top_samples = 0;
  };

  static size_t IntervalOf(uint32_t concurrency, uint32_t announced);
  static bool IsKnown(const Interval& interval, Time now);
  double PaceAt(Time now) const;
  void UpdatePace(double observed, Time now);
  void UpdateLimit(Time now);
  Slowdowns NormalisedSlowdowns(Time now) const;
  /// Returns true if the slowdown at the highest concurrency cannot be noise.
  bool SlowsDown(const Slowdowns& slowdowns, size_t highest) const;

  std::array<Interval, kIntervals> intervals_{};
  uint32_t announced_ = 0;
  double pace_ = 0;
  /// The same with a shorter memory.
  double recent_pace_ = 0;
  Time pace_updated_at_{};
  /// Variance of run times that is assumed before there are any.
  static constexpr double kInitialVariance = 0.2;
  /// Mean square of the differences between runs and the mean of their
  /// interval.
  double variance_ = kInitialVariance;
  /// Number of intervals up to which requests may run, while that is less than
  /// all of them.
  std::optional<size_t> limit_;
};

}  // namespace buckthorncart
