#pragma once
/// \file
/// Owners of the shares of the quota, as the platform's table keeps them.

#include <cstdint>
#include <msgpack.hpp>
#include <string_view>
#include <vector>

#include "Base/address.h"
#include "Plugins/Quota/quota_rules.h"

namespace buckthorncart {

/// Row with the `ShareTable`.
inline constexpr std::string_view kShareRow = "quota/shares";

struct ShareEntry {
  /// Unset if the share has no owner.
  Address owner;
  /// Era of the platform's store in which the owner was written. If the store
  /// has been restored since, a later owner may have been lost.
  uint64_t era = 0;
  /// Daemon that takes the share over if the owner does not object in time.
  Address claimant;

  bool operator==(const ShareEntry&) const = default;
  MSGPACK_DEFINE(owner, era, claimant)
};

struct ShareTable {
  std::vector<ShareEntry> entries;

  bool IsValid() const { return entries.size() == kShareCount; }
  bool operator==(const ShareTable&) const = default;
  MSGPACK_DEFINE(entries)
};

}  // namespace buckthorncart
