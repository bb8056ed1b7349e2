#pragma once
/// \file
/// Rate of the link over which request bodies arrive.

#include <algorithm>
#include <cstdint>

#include "Base/time.h"

namespace buckthorncart {

/// Starts with the nominal rate and follows what arrives while more bodies are
/// waiting than the link can carry. Other traffic on the link and slow senders
/// lower the rate; it never exceeds the nominal one.
class LinkRate {
 public:
  /// `link_kbps` is the nominal rate in kilobits per second.
  explicit LinkRate(uint32_t link_kbps)
      : nominal_(std::max(static_cast<double>(link_kbps) / kKbpsPerByteRate,
                          kMinRate)),
        rate_(nominal_) {}

  /// Tells whether, from `now` on, the arrivals show the rate of the link.
  void SetSaturated(bool saturated, Time now) {
    if (saturated && !saturated_) {
      sample_start_ = now;
      sample_bytes_ = 0;
    }
    saturated_ = saturated;
  }
  void RecordArrival(uint64_t bytes, Time now) {
    if (!saturated_) return;
    sample_bytes_ += bytes;
    const auto elapsed = static_cast<double>((now - sample_start_).count());
    if (sample_bytes_ < kSampleBytes || elapsed <= 0) return;
    const double sample = static_cast<double>(sample_bytes_) / elapsed;
    rate_ = std::clamp(rate_ + (sample - rate_) / kSmoothing,
                       nominal_ * kMinShare, nominal_);
    sample_start_ = now;
    sample_bytes_ = 0;
  }

  Duration TimeFor(uint64_t bytes) const {
    return Duration(static_cast<int64_t>(static_cast<double>(bytes) / rate_));
  }
  /// Returns the bytes that the nominal rate carries in `time`.
  uint64_t NominalBytesIn(Duration time) const {
    return static_cast<uint64_t>(static_cast<double>(time.count()) * nominal_);
  }

 private:
  /// One byte per microsecond, in kilobits per second.
  static constexpr double kKbpsPerByteRate = 8'000.0;
  /// In bytes per microsecond.
  static constexpr double kMinRate = 0.001;
  static constexpr uint64_t kSampleBytes = 64U << 10U;
  /// A sample has the weight 1 / kSmoothing.
  static constexpr double kSmoothing = 4.0;
  /// Lowest rate, as a share of the nominal one.
  static constexpr double kMinShare = 0.125;

  /// Bytes per microsecond.
  double nominal_;
  double rate_;
  bool saturated_ = false;
  Time sample_start_{};
  uint64_t sample_bytes_ = 0;
};

}  // namespace buckthorncart
