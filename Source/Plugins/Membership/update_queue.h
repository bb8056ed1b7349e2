#pragma once
/// \file
/// Queue of member records to disseminate.

#include <cstddef>
#include <map>
#include <vector>

#include "Base/address.h"
#include "Wire/member.h"

namespace buckthorncart {

/// Returns each record a number of times that grows with the logarithm of the
/// fleet size. Records that have been sent least often come first. A record
/// that others send here is known to them already, so it is sent less often
/// (rumor mongering with feedback, Demers et al. 1987).
class UpdateQueue {
 public:
  /// Queues `member`, replacing a queued record of the same member.
  void Add(const Member& member, size_t fleet_size);
  /// Returns the records for one message; their encoded size is at most
  /// `max_bytes`.
  std::vector<Member> Take(size_t max_bytes);
  /// Records that another daemon has sent `member` as it is queued here.
  void RecordDuplicate(const Member& member);
  bool Empty() const { return entries_.empty(); }

 private:
  struct Entry {
    Member member;
    size_t bytes = 0;
    /// Transmissions left.
    uint32_t remaining = 0;
    /// Transmissions that a duplicate makes unnecessary.
    uint32_t duplicate_weight = 1;
  };
  std::map<Address, Entry> entries_;
};

}  // namespace buckthorncart
