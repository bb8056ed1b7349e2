#pragma once
/// \file
/// Difference between two versions of a configuration.

#include <cstdint>
#include <msgpack.hpp>
#include <string>
#include <tuple>
#include <vector>

#include "Config/objects.h"
#include "Config/snapshot.h"
#include "Config/workspace.h"
#include "Wire/optional_tail.h"

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
  ObjectDelta<Workspace> workspaces = {};
  /// As in the resulting snapshot.
  bool reads_workspaces = false;

  template <typename Self>
  static auto Fields(Self& self) {
    return std::tie(self.from, self.to, self.digest, self.services, self.routes,
                    self.rules, self.workspaces, self.reads_workspaces);
  }
  template <typename Packer>
  void msgpack_pack(Packer& packer) const {  // NOLINT
    const bool has_workspaces = !workspaces.set.empty() ||
                                !workspaces.removed.empty() || reads_workspaces;
    PackWithTail<2>(packer, Fields(*this), has_workspaces);
  }
  void msgpack_unpack(const msgpack::object& object) {  // NOLINT
    UnpackWithTail(object, Fields(*this));
  }
};

/// Returns the delta that changes `from` into `to`.
ConfigurationDelta MakeDelta(const Snapshot& from, const Snapshot& to);

/// Returns the result of applying `delta` to `base`, which must have version
/// `delta.from`.
Snapshot ApplyDelta(const Snapshot& base, const ConfigurationDelta& delta);

}  // namespace buckthorncart
