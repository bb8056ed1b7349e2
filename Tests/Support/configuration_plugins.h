#pragma once
/// \file
/// Plug-ins of a daemon whose rules of configuration a test chooses.

#include <memory>
#include <vector>

#include "Plugins/Configuration/change_acceptor.h"
#include "Plugins/Configuration/configuration_replica.h"
#include "Support/fake_daemon.h"

namespace buckthorncart {

/// The registered plug-ins, with those of the configuration replaced by ones
/// that follow `Rules` and `Acceptance`.
template <ConfigurationRules Rules = StandardConfigurationRules,
          AcceptanceRules Acceptance = StandardAcceptanceRules>
FakeDaemon::Plugins PluginsWith(const KernelSettings& settings) {
  using Holder =
      ConfigurationReplica<MixedSpreading, StandardConfigurationRules>;
  using Acceptor = ChangeAcceptor<StandardAcceptanceRules>;
  FakeDaemon::Plugins plugins = StandardPlugins(settings);
  for (std::unique_ptr<Plugin>& plugin : plugins) {
    if (dynamic_cast<Holder*>(plugin.get()) != nullptr) {
      plugin = std::make_unique<ConfigurationReplica<MixedSpreading, Rules>>();
    } else if (dynamic_cast<Acceptor*>(plugin.get()) != nullptr) {
      plugin = std::make_unique<ChangeAcceptor<Acceptance>>();
    }
  }
  return plugins;
}

}  // namespace buckthorncart
