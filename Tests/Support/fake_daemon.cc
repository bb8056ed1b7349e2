#include "Support/fake_daemon.h"

#include <utility>

#include "Kernel/plugin_registry.h"

namespace buckthorncart {

KernelSettings TestSettings(uint32_t n, const std::string& data_centre) {
  constexpr uint32_t kLoopback = 127U << 24U;
  constexpr uint16_t kPeerPort = 7400;
  constexpr uint16_t kBackendPort = 7403;
  KernelSettings settings;
  settings.self = {kLoopback + n, kPeerPort};
  settings.backend = {kLoopback + n, kBackendPort};
  settings.data_centre = data_centre;
  settings.seed = n;
  return settings;
}

std::vector<std::unique_ptr<Plugin>> StandardPlugins(
    const KernelSettings& settings) {
  return PluginRegistry::Instance().CreateAll(settings);
}

FakeDaemon::FakeDaemon(const KernelSettings& settings, Plugins plugins,
                       EffectHandler effect_handler)
    : settings_(settings),
      kernel_(settings, std::move(plugins)),
      effect_handler_(std::move(effect_handler)) {}

void FakeDaemon::Deliver(Time now, const Event& event) {
  for (Effect& effect : kernel_.Handle(now, event)) {
    if (const auto* timer = std::get_if<SetTimer>(&effect)) {
      timers_.emplace(timer->expires_at,
                      TimerFired{timer->kind, timer->argument});
      continue;
    }
    effect_handler_(*this, std::move(effect));
  }
}

std::optional<Time> FakeDaemon::NextTimer() const {
  if (timers_.empty()) return std::nullopt;
  return timers_.begin()->first;
}

void FakeDaemon::FireTimersUntil(Time now) {
  while (!timers_.empty() && timers_.begin()->first <= now) {
    const TimerFired fired = timers_.begin()->second;
    timers_.erase(timers_.begin());
    Deliver(now, fired);
  }
}

}  // namespace buckthorncart
