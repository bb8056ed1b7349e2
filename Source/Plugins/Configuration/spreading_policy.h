#pragma once
/// \file
/// Policies that select the recipients of a new version and how it is sent.

#include <concepts>
#include <vector>

#include "Base/address.h"
#include "Kernel/context.h"

namespace buckthorncart {

/// A recipient of a new version.
struct SpreadTarget {
  Address to;
  /// True to push the change itself, false to send a hint with its version.
  bool push = false;
};

template <typename P>
concept SpreadingPolicy = requires(const P policy, Context& ctx, Address from,
                                   uint64_t version) {
  {
    policy.Targets(ctx, from, version)
    } -> std::same_as<std::vector<SpreadTarget>>;
};

/// Returns the members of the own data centre that this daemon notifies. These
/// are its children in a tree of degree `fanout` over all members, ordered by a
/// rendezvous hash, so that every member is notified once. A daemon that
/// accepted the version also notifies the root. A daemon that received it
/// outside the tree also notifies the root and the root's children.
std::vector<Address> Neighbours(Context& ctx, Address from, size_t fanout);

/// Returns the root of the tree of each other data centre. They are notified by
/// the daemon that accepted the change or read it from the platform. If a root
/// may be dead, the next members up to one that is alive are returned as well.
std::vector<Address> RemoteRelays(Context& ctx);

/// Pushes the change to neighbours and to relays in other data centres.
struct PushSpreading {
  std::vector<SpreadTarget> Targets(Context& ctx, Address from,
                                    uint64_t version) const;
};

/// Sends hints to neighbours and to relays in other data centres.
struct HintSpreading {
  std::vector<SpreadTarget> Targets(Context& ctx, Address from,
                                    uint64_t version) const;
};

/// Pushes to relays in other data centres and sends hints to neighbours.
struct MixedSpreading {
  std::vector<SpreadTarget> Targets(Context& ctx, Address from,
                                    uint64_t version) const;
};

}  // namespace buckthorncart
