#pragma once
/// \file
/// Difference between two versions of a configuration.

#include <cstdint>
#include <msgpack.hpp>
#include <string>
#include <vector>

#include "Config/objects.h"
#include "Config/snapshot.h"

namespace buckthorncart {

/// The new and changed objects of one kind, complete, and the names of the
/// deleted ones.
template <typename Object>
struct ObjectDelta {
  std::vector<Object> set;
  std::vector<std::string> removed;
  MSGPACK_DEFINE(set, removed)
};

/// Changes version `from` into version `to`. Applies to `from` only.
struct ConfigurationDelta {
  uint64_t from = 0;
  uint64_t to = 0;
  /// Digest of the resulting snapshot, as given by the writer of that snapshot.
  uint64_t digest = 0;
  ObjectDelta<Service> services;
  ObjectDelta<Route> routes;
  ObjectDelta<Rule> rules;
  MSGPACK_DEFINE(from, to, digest, services, routes, rules)
};

/// Returns the delta that changes `from` into `to`.
ConfigurationDelta MakeDelta(const Snapshot& from, const Snapshot& to);

/// Returns the result of applying `delta` to `base`, which must have version
/// `delta.from`.
Snapshot ApplyDelta(const Snapshot& base, const ConfigurationDelta& delta);

}  // namespace buckthorncart
