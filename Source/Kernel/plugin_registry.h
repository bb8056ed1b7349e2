#pragma once
/// \file
/// Registry to which plug-ins add themselves by static initialisation, before
/// `main` starts.

#include <functional>
#include <memory>
#include <optional>
#include <string_view>
#include <vector>

#include "Kernel/kernel_settings.h"
#include "Kernel/plugin.h"

namespace buckthorncart {

/// Order in which plug-ins handle an event.
enum class PluginRank : uint8_t {
  kPlatformQueue,
  kMembership,
  kConfiguration,
  kAcceptance,
  kCrashGuard,
  kClaims,
  kAdmission,
  kAnswerFlow,
  kCallRouter,
  kDrain,
  kBurn,
  kOperators,
};

class PluginRegistry {
 public:
  using Factory = std::function<std::unique_ptr<Plugin>(const KernelSettings&)>;

  static PluginRegistry& Instance();
  /// Adds a plug-in. If `only_for` is set, it is created only in daemons with
  /// that source of configurations.
  void Add(PluginRank rank, Factory factory,
           std::optional<ConfigurationSource> only_for);
  /// Creates all plug-ins that apply to `settings`, ordered by rank. Plug-ins
  /// of equal rank keep the order of their registration.
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
