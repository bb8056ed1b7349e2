#include "Plugins/Quota/quota_pool.h"

#include <algorithm>
#include <cmath>

namespace buckthorncart {
namespace {

/// Pause of an asker that did not get all that it wanted. Limits the requests
/// for tokens of a workspace that is far beyond its limit.
constexpr Duration kShortPause = 200ms;
/// The same while there are no shares, which are about to be leased.
constexpr Duration kNoSharesPause = 50ms;
constexpr Duration kNoSharesRetry = 300ms;
/// Longest time over which refused calls are spread.
constexpr Duration kMaxSpread = 3s;
constexpr Duration kMaxRetry = 10s;

double PartOf(uint32_t shares) {
  return static_cast<double>(shares) / kShareCount;
}

double SecondsOf(Duration duration) {
  return std::chrono::duration<double>(duration).count();
}

Duration DurationOf(double seconds, Duration longest) {
  const double limited = std::min(seconds, SecondsOf(longest));
  return std::chrono::duration_cast<Duration>(
      std::chrono::duration<double>(limited));
}

}  // namespace

void QuotaPool::SetLimits(const Limits& limits, Time now) {
  for (Group& group : groups_) {
    EndLeases(group, now);
    std::erase_if(group.buckets, [&limits](const auto& entry) {
      return !limits.contains(entry.first);
    });
  }
  for (const auto& [name, limit] : limits) {
    Group& group = groups_[GroupOf(name)];
    const auto [it, is_new] = group.buckets.try_emplace(name);
    Bucket& bucket = it->second;
    if (is_new) bucket.filled_at = now;
    Fill(bucket, group.shares, now);
    bucket.limit = limit;
    Clamp(bucket, group.shares);
  }
}

void QuotaPool::AddLease(uint32_t group, Address owner, uint32_t shares,
                         Time until, Time now) {
  if (group >= kQuotaGroups || shares > kShareCount) return;
  Group& target = groups_[group];
  EndLeases(target, now);
  if (until <= now) return;
  Lease& lease = target.leases[owner];
  if (until < lease.until) return;
  const uint32_t before = lease.shares;
  lease = {shares, until};
  if (shares != before) SetShares(target, target.shares - before + shares, now);
}

std::vector<std::pair<uint32_t, Address>> QuotaPool::Clear(Time now) {
  std::vector<std::pair<uint32_t, Address>> ended;
  for (uint32_t n = 0; n < kQuotaGroups; ++n) {
    Group& group = groups_[n];
    EndLeases(group, now);
    for (const auto& [owner, lease] : group.leases)
      ended.emplace_back(n, owner);
    group.leases.clear();
    SetShares(group, 0, now);
  }
  return ended;
}

TokenGrant QuotaPool::Take(const std::string& workspace, uint32_t wanted,
                           Time now) {
  Group& group = groups_[GroupOf(workspace)];
  EndLeases(group, now);
  TokenGrant grant;
  grant.shares = group.shares;
  const auto it = group.buckets.find(workspace);
  if (it == group.buckets.end() || group.shares == 0) {
    grant.pause = kNoSharesPause;
    grant.retry_after = grant.retry_spread = kNoSharesRetry;
    return grant;
  }
  Bucket& bucket = it->second;
  Fill(bucket, group.shares, now);
  grant.tokens = std::min(wanted, static_cast<uint32_t>(bucket.tokens));
  bucket.tokens -= grant.tokens;
  grant.left = bucket.tokens;
  if (grant.tokens == wanted) return grant;
  bucket.missed.Add(wanted - grant.tokens, now);
  const double fill_per_s = bucket.limit.rate_per_s * PartOf(group.shares);
  grant.pause = kShortPause;
  grant.retry_after = DurationOf((1.0 - bucket.tokens) / fill_per_s, kMaxRetry);
  grant.retry_spread =
      DurationOf(bucket.missed.Get(now) / fill_per_s, kMaxSpread);
  return grant;
}

uint32_t QuotaPool::SharesOf(uint32_t group, Time now) const {
  uint32_t sum = 0;
  for (const auto& [owner, lease] : groups_[group].leases) {
    if (lease.until > now || !rules_.ends_leases) sum += lease.shares;
  }
  return sum;
}

uint32_t QuotaPool::LeasedShares(Time now) const {
  uint32_t sum = 0;
  for (uint32_t group = 0; group < kQuotaGroups; ++group)
    sum += SharesOf(group, now);
  return sum;
}

void QuotaPool::EndLeases(Group& group, Time now) {
  while (rules_.ends_leases) {
    const auto first =
        std::min_element(group.leases.begin(), group.leases.end(),
                         [](const auto& a, const auto& b) {
                           return a.second.until < b.second.until;
                         });
    if (first == group.leases.end() || first->second.until > now) return;
    const Lease lease = first->second;
    group.leases.erase(first);
    SetShares(group, group.shares - lease.shares, lease.until);
  }
}

void QuotaPool::SetShares(Group& group, uint32_t shares, Time at) {
  for (auto& [name, bucket] : group.buckets) {
    Fill(bucket, group.shares, at);
    Clamp(bucket, shares);
  }
  group.shares = shares;
}

void QuotaPool::Fill(Bucket& bucket, uint32_t shares, Time at) const {
  const Duration elapsed = at - bucket.filled_at;
  if (elapsed <= Duration::zero()) return;
  bucket.filled_at = at;
  bucket.tokens +=
      bucket.limit.rate_per_s * PartOf(shares) * SecondsOf(elapsed);
  Clamp(bucket, shares);
}

void QuotaPool::Clamp(Bucket& bucket, uint32_t shares) const {
  if (!rules_.clamps_buckets) return;
  bucket.tokens = std::min(bucket.tokens, bucket.limit.depth * PartOf(shares));
}

}  // namespace buckthorncart
