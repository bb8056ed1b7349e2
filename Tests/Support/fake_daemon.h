#pragma once
/// \file
/// A kernel in virtual time, whose effects a test can look at.

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <vector>

#include "Kernel/kernel.h"

namespace buckthorncart {

/// Settings that tests start from: address 127.0.0.N:7400.
KernelSettings TestSettings(uint32_t n, const std::string& data_centre);

/// All registered plug-ins.
std::vector<std::unique_ptr<Plugin>> StandardPlugins(
    const KernelSettings& settings);

class FakeDaemon {
 public:
  using Plugins = std::vector<std::unique_ptr<Plugin>>;
  /// Where effects other than timers go.
  using Carrier = std::function<void(FakeDaemon&, Effect)>;

  FakeDaemon(const KernelSettings& settings, Plugins plugins, Carrier carrier);

  void Deliver(Time now, const Event& event);
  /// Time of the earliest timer, or nothing.
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
  Carrier carrier_;
  std::multimap<Time, TimerFired> timers_;
};

}  // namespace buckthorncart
