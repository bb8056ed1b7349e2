#pragma once
/// \file
/// Schedule of the request bodies that other daemons send to this one.

#include <cstdint>
#include <vector>

#include "Base/time.h"
#include "Plugins/Admission/link_rate.h"

namespace buckthorncart {

/// Requests bodies piece by piece, so that the link of this daemon always has
/// work but hardly any queue: a small message waits behind the pieces in flight
/// at most, never behind whole bodies. The receiver schedules the transfers
/// because it alone knows all senders (compare the grants of Homa, 2018).
///
/// The body of more weight comes first, then the one that was added first.
class BodyTransfers {
 public:
  /// A range of a body that its sender is asked for.
  struct Range {
    uint64_t run = 0;
    uint64_t offset = 0;
    uint64_t bytes = 0;
  };

  /// `link_kbps` is the nominal rate of the link in kilobits per second.
  explicit BodyTransfers(uint32_t link_kbps);

  /// Adds the body of `run`, which has `bytes` bytes.
  void Add(uint64_t run, uint64_t bytes, double weight);
  /// Records that the next `bytes` bytes of the body of `run` have arrived.
  /// Returns true if the body is complete, which ends its transfer.
  bool RecordArrival(uint64_t run, uint64_t bytes, Time now);
  void Erase(uint64_t run);
  /// Returns the ranges that are to be requested now, and records them as
  /// requested.
  std::vector<Range> TakeRequests(Time now);

  /// Returns the time until a new body of `weight` would begin to arrive.
  Duration ExpectedWait(double weight) const;
  /// Returns the time that the transfer of `bytes` takes without waiting.
  Duration TransferTime(uint64_t bytes) const;
  /// Returns the time until all bodies have arrived.
  Duration Backlog() const { return ExpectedWait(0.0); }

 private:
  struct Transfer {
    uint64_t run = 0;
    double weight = 0;
    uint64_t bytes = 0;
    uint64_t requested = 0;
    uint64_t arrived = 0;
    /// When the last piece arrived, or the first one was requested.
    Time last_progress{};

    uint64_t InFlight() const { return requested - arrived; }
  };

  Transfer* Find(uint64_t run);
  static bool IsStalled(const Transfer& transfer, Time now);
  /// Returns the bytes that are on the way, except those of stalled transfers.
  uint64_t InFlight(Time now) const;

  LinkRate rate_;
  uint64_t window_bytes_;
  /// In the order of service.
  std::vector<Transfer> transfers_;
};

}  // namespace buckthorncart
