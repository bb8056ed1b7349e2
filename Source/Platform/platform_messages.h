#pragma once
/// \file
/// Requests to the platform's table and object store, and their replies.

#include <cstdint>
#include <map>
#include <msgpack.hpp>
#include <optional>
#include <string>
#include <variant>
#include <vector>

#include "Base/error.h"
#include "Wire/enum_adaptor.h"

namespace buckthorncart {

/// Requires that the row `key` has the value `value`, or that the row does not
/// exist if `value` is not set.
struct Condition {
  std::string key;
  std::optional<std::string> value;
  MSGPACK_DEFINE(key, value)
};

/// Sets the row `key` to `value`, or deletes the row if `value` is not set.
struct Write {
  std::string key;
  std::optional<std::string> value;
  MSGPACK_DEFINE(key, value)
};

/// Applies all writes if all conditions are met, and none otherwise.
struct Transaction {
  std::vector<Condition> conditions;
  std::vector<Write> writes;
  MSGPACK_DEFINE(conditions, writes)
};

/// Reads the rows with the given keys.
struct ReadRows {
  std::vector<std::string> keys;
  MSGPACK_DEFINE(keys)
};

/// Reads up to `limit` rows in the order of their keys. The keys start with
/// `prefix` and are greater than `after`.
struct ScanRows {
  std::string prefix;
  std::string after;
  uint32_t limit = 0;
  MSGPACK_DEFINE(prefix, after, limit)
};

struct PutObject {
  std::string name;
  std::string bytes;
  MSGPACK_DEFINE(name, bytes)
};

struct GetObject {
  std::string name;
  MSGPACK_DEFINE(name)
};

/// Waits up to `wait_ms` for a change of the row `key` that is newer than the
/// store version `after`.
struct WatchRow {
  std::string key;
  uint64_t after = 0;
  uint32_t wait_ms = 0;
  MSGPACK_DEFINE(key, after, wait_ms)
};

using PlatformRequest = std::variant<Transaction, ReadRows, ScanRows, PutObject,
                                     GetObject, WatchRow>;

enum class PlatformStatus : uint8_t {
  /// The request succeeded. All writes of a transaction have been applied.
  kOk,
  /// A condition was not met and nothing was written. `rows` contains the
  /// current rows of all conditions.
  kConditionFailed,
  /// The request has definitely not been carried out.
  kUnavailable,
  /// The request may have been carried out.
  kUnknown,
  /// The platform no longer has the changes since the version that a watch
  /// gives. The row must be read instead.
  kHistoryLost,
};

template <>
struct WireEnum<PlatformStatus> {
  static constexpr size_t kCount =
      static_cast<size_t>(PlatformStatus::kHistoryLost) + 1;
};

struct PlatformReply {
  PlatformStatus status = PlatformStatus::kUnavailable;
  /// The requested rows that exist, by key.
  std::map<std::string, std::string> rows;
  /// Contents of the object, for `GetObject`; not set if it does not exist.
  std::optional<std::string> object;
  /// Store version of `rows`, to be passed to the next watch.
  uint64_t version = 0;
  /// Number of times that the store has been restored from a copy, as it says
  /// itself; 0 if it does not say. Versions of different eras cannot be
  /// compared.
  uint64_t era = 0;
  MSGPACK_DEFINE(status, rows, object, version, era)
};

}  // namespace buckthorncart
