#pragma once
/// \file
/// Plug-ins of a daemon with quota rules chosen by a test.

#include <memory>

#include "Plugins/Quota/quota.h"
#include "Plugins/Quota/quota_shares.h"
#include "Support/fake_daemon.h"

namespace buckthorncart {

/// The registered plug-ins, with those of the quota replaced by instances that
/// use `Policy`.
template <QuotaPolicy Policy>
FakeDaemon::Plugins QuotaPlugins(const KernelSettings& settings) {
  FakeDaemon::Plugins plugins = StandardPlugins(settings);
  for (std::unique_ptr<Plugin>& plugin : plugins) {
    if (dynamic_cast<Quota<StandardQuotaPolicy>*>(plugin.get()) != nullptr) {
      plugin = std::make_unique<Quota<Policy>>();
    } else if (dynamic_cast<QuotaShares<StandardQuotaPolicy>*>(plugin.get()) !=
               nullptr) {
      plugin = std::make_unique<QuotaShares<Policy>>();
    }
  }
  return plugins;
}

struct UnenforcedPolicy : StandardQuotaPolicy {
  static constexpr bool kEnforces = false;
};
struct EndlessLeasesPolicy : StandardQuotaPolicy {
  static constexpr bool kEndsLeases = false;
};
struct EarlyLeasesPolicy : StandardQuotaPolicy {
  static constexpr bool kWaitsForLeaseEnd = false;
};
struct EndlessTokensPolicy : StandardQuotaPolicy {
  static constexpr bool kExpiresTokens = false;
};
struct UnclampedBucketsPolicy : StandardQuotaPolicy {
  static constexpr bool kClampsBuckets = false;
};
struct EarlyGainsPolicy : StandardQuotaPolicy {
  static constexpr bool kWaitsAfterGain = false;
};
struct EndlessOwnershipPolicy : StandardQuotaPolicy {
  static constexpr bool kEndsOwnership = false;
};

}  // namespace buckthorncart
