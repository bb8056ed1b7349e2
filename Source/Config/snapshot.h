#pragma once
/// \file
/// A configuration with its version and digest.

#include <cstdint>
#include <memory>
#include <msgpack.hpp>

#include "Config/configuration.h"

namespace buckthorncart {

struct Snapshot {
  uint64_t version = 0;
  uint64_t digest = 0;
  Configuration configuration;

  MSGPACK_DEFINE(version, digest, configuration)
};

/// Shared pointer to an immutable snapshot.
using SnapshotPtr = std::shared_ptr<const Snapshot>;

}  // namespace buckthorncart
