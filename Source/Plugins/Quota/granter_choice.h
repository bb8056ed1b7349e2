#pragma once
/// \file
/// Choice of the daemon that hands out the tokens of a group of workspaces.

#include <cstdint>
#include <map>

#include "Base/address.h"
#include "Base/time.h"

namespace buckthorncart {

class Context;

/// Chooses by rendezvous hashing among the daemons that are alive as far as
/// this daemon knows. Daemons with different views choose different granters;
/// this moves tokens to where they are of less use, and gives out none twice.
class GranterChoice {
 public:
  Address Of(Context& ctx, uint32_t group) const;
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

  std::map<Address, Silence> silent_;
};

}  // namespace buckthorncart
