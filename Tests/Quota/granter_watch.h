#pragma once
/// \file
/// Counts the shares that granters have.

#include <algorithm>
#include <cstdint>
#include <map>

#include "Quota/quota_fleet.h"
#include "Quota/quota_policies.h"

namespace buckthorncart {

/// Most shares of the group of workspace "hot" that granters have had at one
/// time, all of them together.
template <QuotaPolicy Policy>
class GranterWatch {
 public:
  FakeDaemon::Plugins Create(const KernelSettings& settings) {
    FakeDaemon::Plugins plugins = QuotaPlugins<Policy>(settings);
    for (const auto& plugin : plugins) {
      const auto* quota = dynamic_cast<const Quota<Policy>*>(plugin.get());
      if (quota != nullptr) quotas_[settings.self] = quota;
    }
    return plugins;
  }
  void Observe(QuotaFleet& test) {
    test.fleet.SetObserver([this, &test](FakeDaemon& /*daemon*/) {
      uint32_t sum = 0;
      for (const uint32_t n : test.fleet.Numbers()) {
        const auto it = quotas_.find(test.fleet.At(n).Self());
        sum += it->second->Pool().SharesOf(GroupOf("hot"), test.fleet.Now());
      }
      most_ = std::max(most_, sum);
    });
  }
  uint32_t Most() const { return most_; }

 private:
  std::map<Address, const Quota<Policy>*> quotas_;
  uint32_t most_ = 0;
};

}  // namespace buckthorncart
