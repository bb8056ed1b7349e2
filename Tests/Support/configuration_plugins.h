#pragma once
/// \file
/// Plug-ins of a daemon with configuration rules chosen by a test.

#include <memory>
#include <vector>

#include "Plugins/Configuration/change_acceptor.h"
#include "Plugins/Configuration/configuration_replica.h"
#include "Support/fake_daemon.h"

namespace buckthorncart {

/// The registered plug-ins, with the configuration plug-ins replaced by
/// instances that use `Rules` and `Acceptance`.
template <ConfigurationRules Rules = StandardConfigurationRules,
          AcceptanceRules Acceptance = StandardAcceptanceRules>
FakeDaemon::Plugins PluginsWith(const KernelSettings& settings) {
  using Replica =
      ConfigurationReplica<MixedSpreading, StandardConfigurationRules>;
  using Acceptor = ChangeAcceptor<StandardAcceptanceRules>;
  FakeDaemon::Plugins plugins = StandardPlugins(settings);
  for (std::unique_ptr<Plugin>& plugin : plugins) {
    if (dynamic_cast<Replica*>(plugin.get()) != nullptr) {
      plugin = std::make_unique<ConfigurationReplica<MixedSpreading, Rules>>();
    } else if (dynamic_cast<Acceptor*>(plugin.get()) != nullptr) {
      plugin = std::make_unique<ChangeAcceptor<Acceptance>>();
    }
  }
  return plugins;
}

}  // namespace buckthorncart
