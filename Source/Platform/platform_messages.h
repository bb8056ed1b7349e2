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

namespace buckthorncart {

/// Requires that the row `key` holds `value`, or that it is absent.
struct Condition {
  std::string key;
  std::optional<std::string> value;
  MSGPACK_DEFINE(key, value)
};

/// Sets the row `key`, or deletes it when `value` is absent.
struct Write {
  std::string key;
  std::optional<std::string> value;
  MSGPACK_DEFINE(key, value)
};

/// Applies all writes if all conditions hold, else none.
struct Transaction {
  std::vector<Condition> conditions;
  std::vector<Write> writes;
  MSGPACK_DEFINE(conditions, writes)
};

/// Reads rows by key.
struct ReadRows {
  std::vector<std::string> keys;
  MSGPACK_DEFINE(keys)
};

/// Reads up to `limit` rows whose keys start with `prefix` and follow `after`.
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

/// Waits up to `wait_ms` for a change of the row `key` after `after`, a
/// version of the store.
struct WatchRow {
  std::string key;
  uint64_t after = 0;
  uint32_t wait_ms = 0;
  MSGPACK_DEFINE(key, after, wait_ms)
};

using PlatformRequest = std::variant<Transaction, ReadRows, ScanRows, PutObject,
                                     GetObject, WatchRow>;

enum class PlatformStatus : uint8_t {
  /// Done; for a transaction, all writes have been applied.
  kOk,
  /// A condition did not hold; nothing was written. `rows` holds the current
  /// values of the keys of all conditions.
  kConditionFailed,
  /// The request was certainly not carried out.
  kUnavailable,
  /// The request may have been carried out.
  kUnknown,
  /// The changes that a watch asks for are no longer known; read the row.
  kHistoryLost,
};

struct PlatformReply {
  PlatformStatus status = PlatformStatus::kUnavailable;
  /// Rows that exist.
  std::map<std::string, std::string> rows;
  /// Contents for `GetObject`; absent when there is no such object.
  std::optional<std::string> object;
  /// Version of the store that the rows are from, for the next watch.
  uint64_t version = 0;
  MSGPACK_DEFINE(status, rows, object, version)
};

}  // namespace buckthorncart

MSGPACK_ADD_ENUM(buckthorncart::PlatformStatus)
