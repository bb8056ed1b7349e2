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

/// Number of slices in a window. Counts expire one slice at a time.
inline constexpr size_t kSlicesPerWindow = 60;

/// Standard policy: counts expire when they are older than the span of the
/// window.
struct RollingWindow {
  static constexpr bool kRolls = true;
};

/// Sums the counts of the last `kSlicesPerWindow` slices, including the current
/// one. Memory use does not depend on the number of calls.
template <typename Policy = RollingWindow>
class BurnWindow {
 public:
  explicit BurnWindow(Duration span)
      : slice_duration_(span / kSlicesPerWindow) {}

  void Add(Time now, const BurnCounts& counts) {
    AdvanceTo(now);
    current_counts_.Add(counts);
  }

  BurnCounts Sum(Time now) {
    AdvanceTo(now);
    namespace acc = boost::accumulators;
    BurnCounts sum = current_counts_;
    if (closed_slices_ == 0) return sum;
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

  void AdvanceTo(Time now) {
    if constexpr (!Policy::kRolls) return;
    const int64_t slice = now / slice_duration_;
    if (slice == current_slice_index_) return;
    int64_t elapsed_slices = slice - current_slice_index_;
    current_slice_index_ = slice;
    if (elapsed_slices > static_cast<int64_t>(kSlicesPerWindow)) {
      elapsed_slices = kSlicesPerWindow;
    }
    for (; elapsed_slices > 0; --elapsed_slices) CloseSlice();
  }

  void CloseSlice() {
    calls_(current_counts_.calls);
    failures_(current_counts_.failures);
    slow_(current_counts_.slow);
    current_counts_ = {};
    ++closed_slices_;
  }

  Duration slice_duration_;
  int64_t current_slice_index_ = 0;
  uint64_t closed_slices_ = 0;
  BurnCounts current_counts_;
  RollingSum calls_ = MakeSum();
  RollingSum failures_ = MakeSum();
  RollingSum slow_ = MakeSum();
};

}  // namespace buckthorncart
