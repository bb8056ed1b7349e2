#pragma once
/// \file
/// Counts of calls over a rolling window.

#include <boost/accumulators/accumulators.hpp>
#include <boost/accumulators/statistics/rolling_sum.hpp>
#include <boost/accumulators/statistics/stats.hpp>
#include <cstddef>
#include <cstdint>

#include "Base/time.h"
#include "Plugins/Reports/burn_counts.h"

namespace buckthorncart {

/// Number of slices that a window is cut into; the counts of a whole slice
/// leave the window at once.
inline constexpr size_t kSlicesPerWindow = 60;

/// Policy: counts leave the window when they are older than its span.
struct RollingWindow {
  static constexpr bool kRolls = true;
};

/// Sums the counts of the last `kSlicesPerWindow` slices, the current one
/// included. Memory does not depend on the number of calls.
template <typename Policy = RollingWindow>
class BurnWindow {
 public:
  explicit BurnWindow(Duration span) : slice_(span / kSlicesPerWindow) {}

  void Add(Time now, const BurnCounts& counts) {
    RollTo(now);
    current_.Add(counts);
  }

  BurnCounts Sum(Time now) {
    RollTo(now);
    namespace acc = boost::accumulators;
    BurnCounts sum = current_;
    if (closed_ == 0) return sum;
    sum.Add({acc::rolling_sum(calls_), acc::rolling_sum(failures_),
             acc::rolling_sum(slow_)});
    return sum;
  }

 private:
  using RollingSum = boost::accumulators::accumulator_set<
      uint64_t,
      boost::accumulators::stats<boost::accumulators::tag::rolling_sum>>;

  static RollingSum MakeSum() {
    namespace tag = boost::accumulators::tag;
    return RollingSum(tag::rolling_window::window_size = kSlicesPerWindow - 1);
  }

  void RollTo(Time now) {
    if constexpr (!Policy::kRolls) return;
    const int64_t slice = now / slice_;
    if (slice == slice_number_) return;
    int64_t passed = slice - slice_number_;
    slice_number_ = slice;
    if (passed > static_cast<int64_t>(kSlicesPerWindow)) {
      passed = kSlicesPerWindow;
    }
    for (; passed > 0; --passed) CloseSlice();
  }

  void CloseSlice() {
    calls_(current_.calls);
    failures_(current_.failures);
    slow_(current_.slow);
    current_ = {};
    ++closed_;
  }

  Duration slice_;
  int64_t slice_number_ = 0;
  uint64_t closed_ = 0;
  BurnCounts current_;
  RollingSum calls_ = MakeSum();
  RollingSum failures_ = MakeSum();
  RollingSum slow_ = MakeSum();
};

}  // namespace buckthorncart
