#pragma once
/// \file
/// Many kernels in virtual time, with the bytes that each sends.

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "Plugins/Membership/membership.h"
#include "Support/fake_fleet.h"

namespace buckthorncart {

/// All registered plug-ins, with `Standard` replaced by `Other`.
template <typename Standard, typename Other>
FakeDaemon::Plugins ReplacePlugin(const KernelSettings& settings) {
  FakeDaemon::Plugins plugins = StandardPlugins(settings);
  for (auto& plugin : plugins) {
    if (dynamic_cast<Standard*>(plugin.get()) == nullptr) continue;
    plugin = std::make_unique<Other>();
  }
  return plugins;
}

/// The same with other rules of membership.
template <MembershipRules Rules>
FakeDaemon::Plugins PluginsWithRules(const KernelSettings& settings) {
  return ReplacePlugin<Membership<StandardMembershipRules>, Membership<Rules>>(
      settings);
}

/// Daemons 1 to `size` in five data centres by turns; the first five are the
/// configured peers of all.
class LargeFleet {
 public:
  using Adjust = std::function<void(KernelSettings&)>;

  explicit LargeFleet(uint32_t size,
                      FakeFleet::PluginFactory plugins = StandardPlugins,
                      const Adjust& adjust = {});

  /// Loses what goes from one side to the other; the daemons for which `side`
  /// is true are one side.
  void Cut(std::function<bool(uint32_t n)> side);
  /// Loses the messages for which `lose` is true.
  void Lose(FakeFleet::Filter lose) { lose_ = std::move(lose); }
  void Heal();

  /// True if all running daemons hold all running others, and only these, as
  /// alive.
  bool WholeEverywhere();
  /// Bytes of messages between daemons that `n` has sent.
  uint64_t SentBytes(uint32_t n) { return sent_bytes_[n]; }
  uint64_t SentBytesOfAll() const;
  uint64_t SumOf(std::string_view counter);

  static uint32_t NumberOf(Address address) { return address.ip & 0xFFFFU; }
  static std::string DataCentreOf(uint32_t n);

  FakeFleet fleet;

 private:
  bool Carries(Address from, const Effect& effect);

  std::function<bool(uint32_t)> side_;
  FakeFleet::Filter lose_;
  std::map<uint32_t, uint64_t> sent_bytes_;
};

}  // namespace buckthorncart
