#pragma once
/// \file
/// Time that messages of one connection spend in transit beyond the usual.

#include <algorithm>
#include <cstdint>

#include "Base/time.h"

namespace buckthorncart {

/// Compares the steady clocks of two daemons by the messages of one connection.
/// The least difference between arrival and sending stands for the difference
/// of the clocks and the usual transit time; what exceeds it was spent in
/// transit.
///
/// A sender whose clock stood still, or one that started anew, makes all later
/// messages look late by the same amount. Messages that were held up together
/// arrive together, so that messages that are late for a while are taken for a
/// change of the clocks.
class TransitClock {
 public:
  /// Returns by how much the transit of a message that was sent at `sent`, on
  /// the sender's clock, and arrived at `now` exceeds the usual.
  Duration DelayOf(Time sent, Time now) {
    const Duration difference = now - sent;
    least_ += AllowedDrift(now - last_arrival_);
    last_arrival_ = now;
    const bool restarted =
        !known_ || difference - least_ > kMaxDelay || difference < least_;
    if (restarted) Restart(difference);
    if (difference - least_ <= kUsualVariation) {
      late_messages_ = 0;
    } else {
      CountLate(difference, now);
    }
    return difference - least_;
  }

 private:
  /// Transit times vary by this much without a fault.
  static constexpr Duration kUsualVariation = 50ms;
  /// A longer delay is taken for another clock: connections are closed when
  /// they have been silent for less.
  static constexpr Duration kMaxDelay = 30s;
  /// Messages that a link or a lost packet has held up arrive within less than
  /// this.
  static constexpr Duration kMinLatePeriod = 500ms;
  static constexpr uint32_t kMinLateMessages = 3;
  /// The clocks of two VMs drift apart by less than 1 in this many.
  static constexpr int64_t kDriftDivisor = 5'000;

  static Duration AllowedDrift(Duration elapsed) {
    return std::max(elapsed, Duration::zero()) / kDriftDivisor;
  }

  void Restart(Duration difference) {
    known_ = true;
    least_ = difference;
    late_messages_ = 0;
  }

  void CountLate(Duration difference, Time now) {
    if (late_messages_++ == 0) {
      late_since_ = now;
      least_late_ = difference;
    }
    least_late_ = std::min(least_late_, difference);
    const bool persists = late_messages_ >= kMinLateMessages &&
                          now - late_since_ >= kMinLatePeriod;
    if (persists) Restart(least_late_);
  }

  bool known_ = false;
  /// Least difference between arrival and sending, with the allowed drift.
  Duration least_{};
  Time last_arrival_{};
  /// Messages in a row that were late, the arrival of the first of them, and
  /// the least difference among them.
  uint32_t late_messages_ = 0;
  Time late_since_{};
  Duration least_late_{};
};

}  // namespace buckthorncart
