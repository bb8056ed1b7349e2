#pragma once
/// \file
/// Workspaces: customers that authenticate their requests by API keys.

#include <cstdint>
#include <msgpack.hpp>
#include <optional>
#include <set>
#include <string>

#include "Base/key_digest.h"

namespace buckthorncart {

struct Workspace {
  std::string name;
  /// Digests of the API keys that are valid.
  std::set<KeyDigest> keys;
  /// Priority of the requests, which replaces that of their route.
  std::optional<uint32_t> priority;
  /// Requests allowed in 1,000 s by all daemons together; 0 for no limit.
  uint64_t rate_per_1000_s = 0;
  /// Requests allowed at once beyond the rate.
  uint32_t burst = 0;

  bool operator==(const Workspace&) const = default;
  MSGPACK_DEFINE(name, keys, priority, rate_per_1000_s, burst)
};

}  // namespace buckthorncart
