#pragma once
/// \file
/// Selects the daemons to which reports on freshness are sent.

#include <cstdint>
#include <vector>

#include "Base/address.h"

namespace buckthorncart {

class Context;

/// Returns the children of this daemon in a tree over the daemons of its data
/// centre that begins at `root`. A tree for each root keeps a daemon that is
/// cut off from separating the same others from all sources.
std::vector<Address> FreshnessChildren(Context& ctx, Address root);

/// Returns a daemon in each other data centre, another one in each `round`.
std::vector<Address> FreshnessEntries(Context& ctx, uint64_t round);

}  // namespace buckthorncart
