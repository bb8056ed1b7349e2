#pragma once
/// \file
/// Member records that are still to be passed on.

#include <cstddef>
#include <map>
#include <vector>

#include "Base/address.h"
#include "Wire/member.h"

namespace buckthorncart {

/// Hands out each record a number of times that grows with the logarithm of
/// the fleet, those passed on least first.
class UpdateQueue {
 public:
  /// Replaces an older record of the same member.
  void Add(const Member& member, size_t fleet_size);
  /// Records for one message, `max_bytes` encoded at most.
  std::vector<Member> Take(size_t max_bytes);
  bool Empty() const { return entries_.empty(); }

 private:
  struct Entry {
    Member member;
    size_t bytes = 0;
    uint32_t remaining = 0;
  };
  std::map<Address, Entry> entries_;
};

}  // namespace buckthorncart
