#pragma once
/// \file
/// Simulates a large fleet of kernels in virtual time and counts the bytes that
/// each of them sends.

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "Plugins/Membership/membership.h"
#include "Support/fake_fleet.h"

namespace buckthorncart {

/// Creates all registered plug-ins, with `Standard` replaced by `Other`.
template <typename Standard, typename Other>
FakeDaemon::Plugins ReplacePlugin(const KernelSettings& settings) {
  FakeDaemon::Plugins plugins = StandardPlugins(settings);
  for (auto& plugin : plugins) {
    if (dynamic_cast<Standard*>(plugin.get()) == nullptr) continue;
    plugin = std::make_unique<Other>();
  }
  return plugins;
}

/// Creates all registered plug-ins, with `Rules` as the membership rules.
template <MembershipRules Rules>
FakeDaemon::Plugins PluginsWithRules(const KernelSettings& settings) {
  return ReplacePlugin<Membership<StandardMembershipRules>, Membership<Rules>>(
      settings);
}

/// Daemons 1 to `size`, distributed round-robin over five data centres. The
/// first five daemons are the configured peers of all.
class LargeFleet {
 public:
  using AdjustSettings = std::function<void(KernelSettings&)>;

  explicit LargeFleet(uint32_t size,
                      FakeFleet::PluginFactory plugins = StandardPlugins,
                      const AdjustSettings& adjust = {});

  /// Partitions the network: messages between daemons for which `side` is true
  /// and the other daemons are dropped.
  void Partition(std::function<bool(uint32_t n)> side);
  /// Drops the messages for which `loss_filter` returns true.
  void SetLossFilter(FakeFleet::Filter loss_filter) {
    loss_filter_ = std::move(loss_filter);
  }
  /// Removes the partition and the loss filter.
  void Heal();

  /// True if every running daemon holds exactly the other running daemons as
  /// alive.
  bool MembershipConverged();
  /// Bytes of the messages that `n` has sent to other daemons.
  uint64_t SentBytes(uint32_t n) { return sent_bytes_[n]; }
  uint64_t TotalSentBytes() const;
  /// Sum of `counter` over all daemons.
  uint64_t SumOfCounter(std::string_view counter);

  static uint32_t NumberOf(Address address) { return address.ip & 0xFFFFU; }
  static std::string DataCentreOf(uint32_t n);

  FakeFleet fleet;

 private:
  bool Delivers(Address from, const Effect& effect);

  std::function<bool(uint32_t)> partition_side_;
  FakeFleet::Filter loss_filter_;
  std::map<uint32_t, uint64_t> sent_bytes_;
};

}  // namespace buckthorncart
