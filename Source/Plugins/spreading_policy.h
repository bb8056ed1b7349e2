#pragma once
/// \file
/// Policies that choose whom to tell of a new version, and how.

#include <concepts>
#include <vector>

#include "Base/address.h"
#include "Kernel/context.h"

namespace buckthorncart {

/// One daemon to tell.
struct SpreadTarget {
  Address to;
  /// True to send the change itself, false to send its version.
  bool push = false;
};

template <typename P>
concept SpreadingPolicy = requires(const P policy, Context& ctx, Address from,
                                   uint64_t version) {
  {
    policy.Targets(ctx, from, version)
    } -> std::same_as<std::vector<SpreadTarget>>;
};

/// Live members of the own data centre but `except`, in random order, `n` at
/// most.
std::vector<Address> RandomNeighbours(Context& ctx, Address except, size_t n);

/// The member of each other data centre that relays `version` into it, by
/// rendezvous hash, so that every sender picks the same.
std::vector<Address> RelaysElsewhere(Context& ctx, uint64_t version);

/// True if this daemon tells other data centres of `version`: it learned it
/// from its own data centre or accepted it, and it is the chosen sender.
bool CrossesDataCentres(Context& ctx, Address from, uint64_t version);

/// Pushes the change to random neighbours and to one relay elsewhere.
struct PushSpreading {
  std::vector<SpreadTarget> Targets(Context& ctx, Address from,
                                    uint64_t version) const;
};

/// Hints the version to random neighbours and to one relay elsewhere.
struct HintSpreading {
  std::vector<SpreadTarget> Targets(Context& ctx, Address from,
                                    uint64_t version) const;
};

/// Pushes to relays elsewhere, hints to random neighbours.
struct MixedSpreading {
  std::vector<SpreadTarget> Targets(Context& ctx, Address from,
                                    uint64_t version) const;
};

}  // namespace buckthorncart
