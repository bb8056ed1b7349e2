#pragma once
/// \file
/// An accepted change, which leads from one version to the next.

#include <cstdint>
#include <msgpack.hpp>
#include <string>
#include <vector>

#include "Config/edit.h"

namespace buckthorncart {

struct Change {
  /// Version after the change. The change applies to `version - 1` only.
  uint64_t version = 0;
  std::string operation_id;
  std::vector<Edit> edits;
  /// Digest of the complete configuration after the change.
  uint64_t digest = 0;
  /// Time when the change was accepted, in milliseconds since the epoch.
  uint64_t accepted_ms = 0;

  bool operator==(const Change&) const = default;
  MSGPACK_DEFINE(version, operation_id, edits, digest, accepted_ms)
};

}  // namespace buckthorncart
