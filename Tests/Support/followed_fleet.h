#pragma once
/// \file
/// A simulated fleet that follows the configuration stored on the platform by
/// operators.

#include <string>
#include <utility>
#include <vector>

#include "Plugins/Configuration/configuration_follower.h"
#include "Support/fake_fleet.h"
#include "Wire/codec.h"

namespace buckthorncart {

/// Daemons 1 to `size`, each with a backend server of service catalogus,
/// assigned to three data centres in round-robin order.
struct FollowedFleet {
  /// Daemons 1 to `relays` relay the configuration; by default all of them do.
  explicit FollowedFleet(uint32_t size, uint32_t slots = 4,
                         uint32_t relays = ~0U)
      : FollowedFleet(size, StandardPlugins, slots, relays) {}
  FollowedFleet(uint32_t size, FakeFleet::PluginFactory plugins,
                uint32_t slots = 4, uint32_t relays = ~0U)
      : fleet(std::move(plugins)) {
    constexpr uint32_t kDataCentres = 3;
    std::vector<KernelSettings> all;
    for (uint32_t n = 1; n <= size; ++n) {
      const auto letter = static_cast<char>('a' + n % kDataCentres);
      KernelSettings settings =
          TestSettings(n, std::string("nl-west-") + letter);
      settings.source = ConfigurationSource::kFollowed;
      settings.choice = ChoicePolicy::kNearest;
      settings.caller_service = "catalogus";
      settings.relays_configuration = n <= relays;
      all.push_back(settings);
    }
    fleet.AddAll(all);
    for (uint32_t n = 1; n <= size; ++n) {
      fleet.Behaviours()[n].slots = slots;
      fleet.Announce(n, "catalogus", "ready", slots);
    }
  }

  /// Gives each version a different route path, which shows the version that is
  /// in force.
  static Snapshot MakeSnapshot(uint64_t version, size_t idle_routes = 0) {
    Snapshot snapshot;
    snapshot.version = version;
    snapshot.configuration.services["catalogus"].name = "catalogus";
    Route route;
    route.name = "r";
    route.path = "/v" + std::to_string(version) + "/";
    route.service = "catalogus";
    route.deduplicates_by_key = false;
    route.target_latency_ms = 500;
    snapshot.configuration.routes["r"] = route;
    for (size_t i = 0; i < idle_routes; ++i) {
      route.name = "idle" + std::to_string(i);
      route.path = "/" + route.name + "/";
      snapshot.configuration.routes[route.name] = route;
    }
    return snapshot;
  }
  void Write(uint64_t version, size_t idle_routes = 0) {
    fleet.Put(std::string(kFollowedRow),
              Encode(MakeSnapshot(version, idle_routes)));
  }
  uint64_t Held(uint32_t n) { return fleet.At(n).Version(); }
  bool AllHold(uint64_t version) {
    for (const uint32_t n : fleet.Numbers()) {
      if (Held(n) != version) return false;
    }
    return true;
  }

  FakeFleet fleet;
};

}  // namespace buckthorncart
