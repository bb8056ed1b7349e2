#pragma once
/// \file
/// Rows and objects that hold the configuration on the platform.

#include <cstdint>
#include <msgpack.hpp>
#include <string>

#include "Config/change.h"

namespace buckthorncart {

/// Value of the row `head`; absent while no change has been accepted.
struct HeadRow {
  uint64_t version = 0;
  uint64_t digest = 0;
  MSGPACK_DEFINE(version, digest)
};

/// Value of the row `snapshot`: the latest snapshot in the object store.
struct SnapshotRow {
  uint64_t version = 0;
  uint64_t digest = 0;
  MSGPACK_DEFINE(version, digest)
};

/// Value of the row `op/ID`.
struct OperationRow {
  /// Version that the operation resulted in; 0 when it was withdrawn.
  uint64_t version = 0;
  /// Digest of the edits, to tell a repetition from another operation.
  uint64_t edits_digest = 0;
  MSGPACK_DEFINE(version, edits_digest)
};

inline constexpr const char* kHeadKey = "head";
inline constexpr const char* kSnapshotKey = "snapshot";

/// "change/000000000042"; sorts by version.
std::string ChangeKey(uint64_t version);
std::string OperationKey(const std::string& operation_id);
/// Name of a snapshot object: "snapshot/000000000042-00f3…", digest in hex.
std::string SnapshotName(const SnapshotRow& row);

}  // namespace buckthorncart
