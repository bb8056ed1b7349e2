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

/// Members of the own data centre that this daemon tells: its children in a
/// tree of `fanout` over all members, in the order of a rendezvous hash. Every
/// member is told once. A daemon that accepted the version also tells the
/// root; one that learned it aside from the tree, the root and its children.
std::vector<Address> Neighbours(Context& ctx, Address from, size_t fanout);

/// The root of the tree of each other data centre, told by the daemon that
/// accepted the change or found it on the platform.
std::vector<Address> RelaysElsewhere(Context& ctx);

/// Pushes the change to neighbours and to relays elsewhere.
struct PushSpreading {
  std::vector<SpreadTarget> Targets(Context& ctx, Address from,
                                    uint64_t version) const;
};

/// Hints the version to neighbours and to relays elsewhere.
struct HintSpreading {
  std::vector<SpreadTarget> Targets(Context& ctx, Address from,
                                    uint64_t version) const;
};

/// Pushes to relays elsewhere, hints to neighbours.
struct MixedSpreading {
  std::vector<SpreadTarget> Targets(Context& ctx, Address from,
                                    uint64_t version) const;
};

}  // namespace buckthorncart
