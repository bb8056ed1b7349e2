#pragma once
/// \file
/// Registry in which plug-ins enter themselves before `main` starts.

#include <functional>
#include <memory>
#include <optional>
#include <string_view>
#include <vector>

#include "Kernel/kernel_settings.h"
#include "Kernel/plugin.h"

namespace buckthorncart {

/// Order in which plug-ins see an event.
enum class PluginRank : uint8_t {
  kPlatformQueue,
  kMembership,
  kConfiguration,
  kAcceptance,
  kCrashGuard,
  kClaims,
  kAdmission,
  kAnswerFlow,
  kReceiving,
  kDrain,
  kBurn,
  kOperators,
};

class PluginRegistry {
 public:
  using Factory = std::function<std::unique_ptr<Plugin>(const KernelSettings&)>;

  static PluginRegistry& Instance();
  /// A plug-in that is `only_for` one source of configurations is left out of
  /// daemons with another.
  void Add(PluginRank rank, Factory factory,
           std::optional<ConfigurationSource> only_for);
  /// New plug-ins of every kind that fits the settings, by rank.
  std::vector<std::unique_ptr<Plugin>> CreateAll(
      const KernelSettings& settings) const;

 private:
  struct Entry {
    PluginRank rank;
    Factory factory;
    std::optional<ConfigurationSource> only_for;
  };
  std::vector<Entry> entries_;
};

/// A namespace-scope object of this type registers a plug-in.
class PluginRegistration {
 public:
  PluginRegistration(PluginRank rank, PluginRegistry::Factory factory,
                     std::optional<ConfigurationSource> only_for = {});
};

}  // namespace buckthorncart
