#pragma once
/// \file
/// Tokens that this daemon hands out as a granter.

#include <array>
#include <cstdint>
#include <functional>
#include <map>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "Base/address.h"
#include "Base/time.h"
#include "Plugins/Quota/quota_rules.h"
#include "Plugins/Requests/decaying_sum.h"

namespace buckthorncart {

/// Result of taking tokens.
struct TokenGrant {
  uint32_t tokens = 0;
  /// Time in which another attempt would be in vain.
  Duration pause{};
  /// Times after which refused calls may fit: the earliest, and the span over
  /// which they are spread.
  Duration retry_after{};
  Duration retry_spread{};
  uint32_t shares = 0;
  /// Tokens left.
  double left = 0;
};

/// Buckets of all workspaces with a limit. A bucket is filled by the shares
/// that are leased to this daemon for the group of its workspace, and holds no
/// more tokens than these allow. A new bucket is empty.
class QuotaPool {
 public:
  struct Rules {
    bool ends_leases = true;
    bool clamps_buckets = true;
  };
  using Limits = std::map<std::string, BucketLimit>;

  explicit QuotaPool(Rules rules) : rules_(rules) {}

  /// Sets the limits that are in force. A lower one takes effect on the tokens
  /// that a bucket holds, a higher one fills nothing.
  void SetLimits(const Limits& limits, Time now);
  /// Adds or extends the lease of `shares` of `group` from the daemon at
  /// `owner`. A lease that ends earlier than the known one is ignored.
  void AddLease(uint32_t group, Address owner, uint32_t shares, Time until,
                Time now);
  /// Ends all leases; returns the group and owner of each.
  std::vector<std::pair<uint32_t, Address>> Clear(Time now);
  TokenGrant Take(const std::string& workspace, uint32_t wanted, Time now);
  /// Returns the shares of `group` that are leased to this daemon at `now`.
  uint32_t SharesOf(uint32_t group, Time now) const;
  /// Returns the shares that are leased to this daemon at `now`, over all
  /// groups.
  uint32_t LeasedShares(Time now) const;

 private:
  struct Lease {
    uint32_t shares = 0;
    Time until{};
  };
  struct Bucket {
    BucketLimit limit;
    double tokens = 0;
    Time filled_at{};
    /// Tokens that were asked for in vain in the last second.
    DecayingSum missed{1s};
  };
  struct Group {
    std::map<Address, Lease> leases;
    uint32_t shares = 0;
    std::map<std::string, Bucket, std::less<>> buckets;
  };

  /// Ends the leases of `group` that are over, each at its time.
  void EndLeases(Group& group, Time now);
  void SetShares(Group& group, uint32_t shares, Time at);
  void Fill(Bucket& bucket, uint32_t shares, Time at) const;
  void Clamp(Bucket& bucket, uint32_t shares) const;

  Rules rules_;
  std::array<Group, kQuotaGroups> groups_;
};

}  // namespace buckthorncart
