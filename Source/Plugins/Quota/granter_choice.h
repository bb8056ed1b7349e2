#pragma once
/// \file
/// Choice of the daemon that hands out the tokens of a group of workspaces.

#include <cstdint>
#include <map>
#include <vector>

#include "Base/address.h"
#include "Base/time.h"

namespace buckthorncart {

class Context;

/// Chooses by rendezvous hashing among the daemons that have run for longest,
/// of those that are alive as far as this daemon knows. A daemon that joins, or
/// that has started again, does not take a group from another one, whose
/// buckets it does not have. Daemons with different views choose different
/// granters; this moves tokens to where they are of less use, and gives out
/// none twice.
class GranterChoice {
 public:
  Address Of(Context& ctx, uint32_t group);
  /// The known daemons have changed.
  void HandleMembers() { candidates_.clear(); }
  /// Records that `granter` did not answer. After a few times in a row it is
  /// avoided for some time.
  void RecordSilence(Address granter, Time now);
  void RecordReply(Address granter);
  /// Avoids `granter`, which does not hand out tokens any more.
  void Avoid(Address granter, Time now);

 private:
  struct Silence {
    uint32_t count = 0;
    Time avoid_until{};
  };

  void FindCandidates(Context& ctx);
  bool IsAvoided(Address granter, Time now) const;

  /// Daemons that have run for longest; empty if they must be found again.
  std::vector<Address> candidates_;
  bool drains_ = false;
  std::map<Address, Silence> silent_;
};

}  // namespace buckthorncart
