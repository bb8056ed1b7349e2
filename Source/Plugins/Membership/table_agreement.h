#pragma once
/// \file
/// Decision when to pull the member records that differ from those of a peer.

#include <cstdint>
#include <utility>

#include "Base/time.h"

namespace buckthorncart {

/// Tables differ briefly after each change, until gossip has spread it. A
/// difference that lasts is repaired by a pull. That other peers have an equal
/// table does not show that it has ended: they may lack the same record.
class TableAgreement {
 public:
  /// Records that the table of a peer was equal or not, and returns true if the
  /// records that differ are to be pulled from that peer.
  bool ShouldPull(bool equal, Time now) {
    if (equal) {
      if (++equal_in_a_row_ >= kEqualPeers) differs_ = false;
      return false;
    }
    equal_in_a_row_ = 0;
    if (!std::exchange(differs_, true)) differing_since_ = now;
    return now - differing_since_ >= kGracePeriod;
  }

 private:
  static constexpr Duration kGracePeriod = 5s;
  /// Number of successive peers with an equal table after which the fleet is
  /// taken to agree.
  static constexpr uint32_t kEqualPeers = 8;

  /// A daemon that has just started lacks records, so it pulls at once.
  bool differs_ = true;
  Time differing_since_{};
  uint32_t equal_in_a_row_ = 0;
};

}  // namespace buckthorncart
