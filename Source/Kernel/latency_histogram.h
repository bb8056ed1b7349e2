#pragma once
/// \file
/// Histogram of durations.

#include <boost/histogram/axis/variable.hpp>
#include <boost/histogram/histogram.hpp>
#include <boost/histogram/make_histogram.hpp>
#include <cstdint>
#include <tuple>

#include "Base/time.h"

namespace buckthorncart {

/// Counts durations by bucket, in seconds.
class LatencyHistogram {
 public:
  using Axis = boost::histogram::axis::variable<double>;
  using Histogram = decltype(boost::histogram::make_histogram(Axis{}));

  LatencyHistogram()
      : histogram_(boost::histogram::make_histogram(
            Axis{{0.0, 0.001, 0.0025, 0.005, 0.01, 0.025, 0.05, 0.1, 0.25, 0.5,
                  1.0, 2.5, 5.0, 10.0}})) {}

  void Observe(Duration duration) {
    const double seconds = static_cast<double>(duration.count()) / 1e6;
    histogram_(seconds);
    sum_ += seconds;
    ++count_;
  }
  /// Calls `visit(upper bound, number of durations below it)` for each bucket.
  template <typename Visitor>
  void VisitCumulative(Visitor visit) const {
    uint64_t cumulative = 0;
    for (int i = 0; i < histogram_.axis().size(); ++i) {
      cumulative += static_cast<uint64_t>(histogram_.at(i));
      visit(histogram_.axis().bin(i).upper(), cumulative);
    }
  }
  double Sum() const { return sum_; }
  uint64_t Count() const { return count_; }

 private:
  Histogram histogram_;
  double sum_ = 0;
  uint64_t count_ = 0;
};

}  // namespace buckthorncart
