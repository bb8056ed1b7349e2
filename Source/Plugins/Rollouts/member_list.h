#pragma once
/// \file
/// The daemons that take part in roll-outs.

#include <vector>

#include "Kernel/context.h"

namespace buckthorncart {

/// Returns the records of this daemon and of all others that it knows. They are
/// valid until the next event.
inline std::vector<const Member*> AllMembers(Context& ctx) {
  std::vector<const Member*> members = {&ctx.Shared().self};
  for (const auto& [address, member] : ctx.Shared().members)
    members.push_back(&member);
  return members;
}

}  // namespace buckthorncart
