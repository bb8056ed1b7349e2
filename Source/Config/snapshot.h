#pragma once
/// \file
/// A configuration with its version and digest.

#include <cstdint>
#include <memory>
#include <msgpack.hpp>
#include <tuple>

#include "Config/configuration.h"
#include "Wire/optional_tail.h"

namespace buckthorncart {

struct Snapshot {
  uint64_t version = 0;
  uint64_t digest = 0;
  Configuration configuration;
  /// True if the daemon that read the configuration reads workspaces. A copy
  /// from one that does not may lack them.
  bool reads_workspaces = false;

  template <typename Self>
  static auto Fields(Self& self) {
    return std::tie(self.version, self.digest, self.configuration,
                    self.reads_workspaces);
  }
  template <typename Packer>
  void msgpack_pack(Packer& packer) const {  // NOLINT
    PackWithTail<1>(packer, Fields(*this), reads_workspaces);
  }
  void msgpack_unpack(const msgpack::object& object) {  // NOLINT
    UnpackWithTail(object, Fields(*this));
  }
};

/// Shared pointer to an immutable snapshot.
using SnapshotPtr = std::shared_ptr<const Snapshot>;

}  // namespace buckthorncart
