/// The platform's store comes back from an older copy: the configuration.

#include <doctest/doctest.h>

#include <memory>
#include <utility>

#include "Plugins/PlatformCalls/restore_detector.h"
#include "Support/followed_fleet.h"

namespace buckthorncart {
namespace {

constexpr uint32_t kDaemons = 6;

FakeDaemon::Plugins PluginsWithoutDetector(const KernelSettings& settings) {
  FakeDaemon::Plugins plugins = StandardPlugins(settings);
  std::erase_if(plugins, [](const std::unique_ptr<Plugin>& plugin) {
    return dynamic_cast<RestoreDetector*>(plugin.get()) != nullptr;
  });
  return plugins;
}

/// What the operator and the daemons see of a restore.
struct Drill {
  /// How long the store is away before it comes back.
  Duration away = 1'500ms;
  /// Connections stay open, so that watches continue in the restored store.
  bool keeps_watches = false;
  /// Time from the return until the operator writes again.
  Duration operator_after{};
};

/// The store loses a version of the configuration and a row of the system. The
/// operator writes the version again, and then another one that gets the store
/// version of the lost one. Returns true if all daemons hold it in time.
bool AllFollowAfter(const Drill& drill,
                    FakeFleet::PluginFactory plugins = StandardPlugins) {
  FollowedFleet test(kDaemons, std::move(plugins));
  test.fleet.StartAll();
  test.Write(10);
  test.fleet.Advance(5s);
  const MemoryTable copy = test.fleet.Table();
  test.fleet.Put("left/of-another", "row");
  test.Write(11);
  test.fleet.Advance(1'500ms);
  CHECK(test.AllHold(11));
  if (drill.away > Duration::zero()) {
    test.fleet.SetPlatformFault(PlatformFault::kDown);
    test.fleet.BreakWatches();
    test.fleet.Advance(drill.away);
    test.fleet.SetPlatformFault(PlatformFault::kNone);
  }
  test.fleet.RestorePlatform(copy, drill.keeps_watches);
  test.fleet.Advance(drill.operator_after);
  test.Write(11);
  test.Write(20);
  // Bounds of the deployments: 2 s for a change and 5 s for an unstable store.
  test.fleet.Advance(7s);
  return test.AllHold(20);
}

// Review case 7: the watch continued at a version of the lost copy, so that the
// change of the operator was not seen.
TEST_CASE("restore: a change that gets the store version of a lost one") {
  CHECK(AllFollowAfter({}));
}

TEST_CASE("restore control: undetected, the change is not followed") {
  CHECK_FALSE(AllFollowAfter({}, PluginsWithoutDetector));
}

TEST_CASE("restore: watches that stay open over the restore") {
  CHECK(AllFollowAfter({.away = 0s, .keeps_watches = true}));
}

TEST_CASE("restore: the daemons are back before the operator") {
  for (const Duration delay : {10ms, 300ms, 1'000ms}) {
    CHECK(AllFollowAfter({.operator_after = delay}));
  }
}

TEST_CASE("restore: the held version does not decrease meanwhile") {
  FollowedFleet test(kDaemons);
  test.fleet.StartAll();
  test.Write(10);
  test.fleet.Advance(3s);
  const MemoryTable copy = test.fleet.Table();
  test.Write(11);
  test.fleet.Advance(2s);
  bool went_back = false;
  test.fleet.SetObserver([&](FakeDaemon& daemon) {
    went_back = went_back || daemon.Version() < 11;
  });
  test.fleet.RestorePlatform(copy);
  test.fleet.Advance(4s);
  CHECK_FALSE(went_back);
  CHECK(test.fleet.At(1).Counter("platform_restores_total") == 1);
}

TEST_CASE("restore: each one is detected, on every daemon") {
  FollowedFleet test(kDaemons);
  test.fleet.StartAll();
  test.Write(10);
  test.fleet.Advance(3s);
  for (uint64_t n = 1; n <= 3; ++n) {
    test.fleet.RestorePlatform(test.fleet.Table());
    test.fleet.Advance(4s);
    for (const uint32_t daemon : test.fleet.Numbers())
      CHECK(test.fleet.At(daemon).Counter("platform_restores_total") == n);
  }
}

TEST_CASE("restore: a late answer of the earlier era is not relied on") {
  FollowedFleet test(kDaemons);
  test.fleet.StartAll();
  test.Write(10);
  test.fleet.Advance(3s);
  test.fleet.RestorePlatform(test.fleet.Table());
  test.fleet.Advance(4s);
  const uint64_t before = test.fleet.At(1).Counter("platform_restores_total");
  PlatformReply late{PlatformStatus::kOk, {}, {}, 5};
  late.era = 1;
  test.fleet.Inject(1, PlatformReplied{1, late});
  CHECK(test.fleet.At(1).Counter("platform_restores_total") == before + 1);
}

}  // namespace
}  // namespace buckthorncart
