#pragma once
/// \file
/// Evaluates ended calls against the objectives of their services.

#include <array>
#include <map>
#include <string>

#include "Kernel/context.h"
#include "Plugins/Reports/burn_window.h"

namespace buckthorncart {

/// Counts of one service, by window.
using BurnReport = std::array<BurnCounts, EnumSize<BurnSpan>()>;

/// Rolling counts of the calls that this daemon received, by service.
template <typename Policy = RollingWindow>
class ServiceObjectives {
 public:
  /// Counts one call and returns the counts added. They are zero for calls that
  /// their callers ended and for services that are no longer configured.
  BurnCounts Record(Context& ctx, const CallEnded& ended) {
    if (ended.ended_by_caller) return {};
    const auto& services = ctx.Shared().held->configuration.services;
    const auto service = services.find(ended.service);
    if (service == services.end()) return {};
    const uint64_t objective_us = service->second.latency_ms * kUsPerMs;
    const BurnCounts counts = {1, ended.outcome == Outcome::kRan ? 0U : 1U,
                               ended.latency_us > objective_us ? 1U : 0U};
    auto [it, added] = windows_.try_emplace(ended.service);
    for (auto& window : it->second) window.Add(ctx.Now(), counts);
    return counts;
  }

  /// Removes services that are no longer configured.
  void Prune(Context& ctx) {
    const auto& services = ctx.Shared().held->configuration.services;
    std::erase_if(windows_, [&services](const auto& item) {
      return !services.contains(item.first);
    });
  }

  std::map<std::string, BurnReport> Report(Time now) {
    std::map<std::string, BurnReport> report;
    for (auto& [service, windows] : windows_) {
      for (size_t i = 0; i < windows.size(); ++i) {
        report[service][i] = windows[i].Sum(now);
      }
    }
    return report;
  }

 private:
  static constexpr uint64_t kUsPerMs = 1'000;
  struct Windows : std::array<BurnWindow<Policy>, EnumSize<BurnSpan>()> {
    Windows()
        : std::array<BurnWindow<Policy>, EnumSize<BurnSpan>()>{
              BurnWindow<Policy>(kBurnSpans[0]),
              BurnWindow<Policy>(kBurnSpans[1]),
              BurnWindow<Policy>(kBurnSpans[2])} {}
  };

  std::map<std::string, Windows> windows_;
};

}  // namespace buckthorncart
