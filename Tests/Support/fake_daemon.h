#pragma once
/// \file
/// A kernel that runs in virtual time and passes its effects to a test.

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <vector>

#include "Kernel/kernel.h"

namespace buckthorncart {

/// Default settings of tests, with address 127.0.0.N:7400.
KernelSettings TestSettings(uint32_t n, const std::string& data_centre);

/// All registered plug-ins.
std::vector<std::unique_ptr<Plugin>> StandardPlugins(
    const KernelSettings& settings);

class FakeDaemon {
 public:
  using Plugins = std::vector<std::unique_ptr<Plugin>>;
  /// Receives the effects other than timers.
  using EffectHandler = std::function<void(FakeDaemon&, Effect)>;

  FakeDaemon(const KernelSettings& settings, Plugins plugins,
             EffectHandler effect_handler);

  void Deliver(Time now, const Event& event);
  /// Expiry time of the earliest timer, or nothing if none is set.
  std::optional<Time> NextTimer() const;
  void FireTimersUntil(Time now);

  Address Self() const { return settings_.self; }
  const KernelSettings& Settings() const { return settings_; }
  Context& GetContext() { return kernel_.GetContext(); }
  uint64_t Version() { return GetContext().Shared().held->version; }
  bool Ready() { return GetContext().Shared().ready; }
  uint64_t Counter(std::string_view name) {
    return GetContext().AllMetrics().CounterByName(name);
  }

 private:
  KernelSettings settings_;
  Kernel kernel_;
  EffectHandler effect_handler_;
  std::multimap<Time, TimerFired> timers_;
};

}  // namespace buckthorncart
