#pragma once
/// \file
/// Rows and objects that store the configuration on the platform.

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

/// Value of the row `op/ID`, the recorded outcome of an operation.
struct OperationRow {
  /// Version that the operation produced; 0 if it was withdrawn.
  uint64_t version = 0;
  /// Digest of the edits, which distinguishes a repeated submission from a
  /// different operation that reuses the id.
  uint64_t edits_digest = 0;
  MSGPACK_DEFINE(version, edits_digest)
};

inline constexpr const char* kHeadKey = "head";
inline constexpr const char* kSnapshotKey = "snapshot";

/// Returns a key such as "change/000000000042". The zero padding makes keys
/// sort by version.
std::string ChangeKey(uint64_t version);
std::string OperationKey(const std::string& operation_id);
/// Returns an object name such as "snapshot/000000000042-00f3…", which ends in
/// the digest in hexadecimal.
std::string SnapshotName(const SnapshotRow& row);

}  // namespace buckthorncart
