#pragma once
/// \file
/// What differs between two versions of a configuration.

#include <cstdint>
#include <msgpack.hpp>
#include <string>
#include <vector>

#include "Config/objects.h"
#include "Config/snapshot.h"

namespace buckthorncart {

/// Objects of one kind that are new or changed, whole, and names of those that
/// are gone.
template <typename Object>
struct ObjectDelta {
  std::vector<Object> set;
  std::vector<std::string> removed;
  MSGPACK_DEFINE(set, removed)
};

/// Leads from exactly version `from` to version `to`.
struct ConfigurationDelta {
  uint64_t from = 0;
  uint64_t to = 0;
  /// Digest of the snapshot that results, as its writer gave it.
  uint64_t digest = 0;
  ObjectDelta<Service> services;
  ObjectDelta<Route> routes;
  ObjectDelta<Rule> rules;
  MSGPACK_DEFINE(from, to, digest, services, routes, rules)
};

ConfigurationDelta MakeDelta(const Snapshot& from, const Snapshot& to);

/// `base` must have version `delta.from`.
Snapshot ApplyDelta(const Snapshot& base, const ConfigurationDelta& delta);

}  // namespace buckthorncart
