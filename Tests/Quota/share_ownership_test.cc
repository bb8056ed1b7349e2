#include <doctest/doctest.h>

#include <algorithm>

#include "Quota/quota_fleet.h"
#include "Quota/quota_policies.h"

namespace buckthorncart {
namespace {

constexpr uint32_t kSize = 11;
const QuotaFleet::Limits kLimits = {{"calm", {20, 10}}};

uint32_t SharesAt(QuotaFleet& test, uint32_t n) {
  return test.fleet.At(n).GetContext().Shared().quota_shares;
}

uint32_t AllShares(QuotaFleet& test) {
  uint32_t sum = 0;
  for (const uint32_t n : test.fleet.Numbers()) sum += SharesAt(test, n);
  return sum;
}

/// Records the most shares that all daemons together have had at one time.
struct ShareWatch {
  explicit ShareWatch(QuotaFleet& test) {
    test.fleet.SetObserver([this, &test](FakeDaemon& /*daemon*/) {
      most = std::max(most, AllShares(test));
    });
  }
  uint32_t most = 0;
};

TEST_CASE("quota shares: a new fleet has each share once") {
  QuotaFleet test(kSize, 1);
  const ShareWatch watch(test);
  test.Start(kLimits);
  CHECK(AllShares(test) == kShareCount);
  CHECK(watch.most == kShareCount);
  CHECK(test.Counter("quota_share_writes_total") <= 3);
}

TEST_CASE("quota shares: a daemon that starts again has its shares again") {
  QuotaFleet test(kSize, 1);
  const ShareWatch watch(test);
  test.Start(kLimits);
  for (const uint32_t n : test.fleet.Numbers()) test.fleet.Restart(n);
  CHECK(AllShares(test) == 0);
  test.fleet.Advance(4s);
  CHECK(AllShares(test) == kShareCount);
  CHECK(watch.most == kShareCount);
}

TEST_CASE("quota shares: a VM that goes hands its shares over") {
  QuotaFleet test(kSize, 1);
  const ShareWatch watch(test);
  test.Start(kLimits);
  uint32_t leaving = 1;
  while (SharesAt(test, leaving) == 0) ++leaving;
  test.fleet.Announce(leaving, "desk", "draining", 1'000);
  test.fleet.Advance(100ms);
  test.fleet.Inject(leaving, ShutdownRequested{});
  test.fleet.Advance(900ms);
  test.fleet.Kill(leaving);
  test.fleet.Advance(5s);
  CHECK(AllShares(test) == kShareCount);
  CHECK(watch.most == kShareCount);
}

TEST_CASE("quota shares: a restart beside a server that stays moves nothing") {
  QuotaFleet test(kSize, 1);
  test.Start(kLimits);
  uint32_t stopped = 1;
  while (SharesAt(test, stopped) == 0) ++stopped;
  const uint32_t before = SharesAt(test, stopped);
  test.fleet.Inject(stopped, ShutdownRequested{});
  test.fleet.Advance(1s);
  CHECK(SharesAt(test, stopped) == 0);
  test.fleet.Restart(stopped);
  test.fleet.Advance(5s);
  CHECK(SharesAt(test, stopped) == before);
}

TEST_CASE("quota shares: those of a lost daemon go to others in the end") {
  QuotaFleet test(kSize, 1);
  const ShareWatch watch(test);
  test.Start(kLimits);
  uint32_t lost = 1;
  while (SharesAt(test, lost) == 0) ++lost;
  test.fleet.Kill(lost);
  test.fleet.Advance(5min);
  CHECK(AllShares(test) < kShareCount);
  // An owner notices it with its next read, and again half a minute later.
  test.fleet.Advance(15min);
  CHECK(AllShares(test) == kShareCount);
  CHECK(watch.most == kShareCount);
}

/// A daemon is cut off from the store and from all others for longer than a
/// claim takes. Returns the most shares at one time.
uint32_t SharesWhileCutOff(FakeFleet::PluginFactory plugins) {
  QuotaFleet test(kSize, 1, std::move(plugins));
  const ShareWatch watch(test);
  test.Start(kLimits);
  uint32_t lost = 1;
  while (SharesAt(test, lost) == 0) ++lost;
  test.Cut([lost](uint32_t n) { return n == lost ? 1U : 0U; });
  test.fleet.RefusePlatformCalls({lost});
  test.fleet.Advance(15min);
  test.Heal();
  test.fleet.RefusePlatformCalls({});
  test.fleet.Advance(2min);
  CHECK(AllShares(test) >= kShareCount);
  return watch.most;
}

TEST_CASE("quota shares: a daemon that is cut off for long has none") {
  CHECK(SharesWhileCutOff(StandardPlugins) == kShareCount);
}

TEST_CASE("quota shares: owners without end have a share twice") {
  CHECK(SharesWhileCutOff(QuotaPlugins<EndlessOwnershipPolicy>) > kShareCount);
}

TEST_CASE("quota shares: one that reads again in time keeps what is claimed") {
  QuotaFleet test(kSize, 1);
  const ShareWatch watch(test);
  test.Start(kLimits);
  uint32_t cut = 1;
  while (SharesAt(test, cut) == 0) ++cut;
  const uint32_t before = SharesAt(test, cut);
  test.Cut([cut](uint32_t n) { return n == cut ? 1U : 0U; });
  test.fleet.Advance(15min);
  CHECK(SharesAt(test, cut) == before);
  CHECK(watch.most == kShareCount);
}

// The store forgets that a share has moved, and the earlier owner starts again.
TEST_CASE("quota shares: a restored store gives no share to two daemons") {
  for (const bool restarts_owner : {false, true}) {
    CAPTURE(restarts_owner);
    QuotaFleet test(kSize, 1);
    const ShareWatch watch(test);
    test.Start(kLimits);
    const MemoryTable copy = test.fleet.Table();
    uint32_t leaving = 1;
    while (SharesAt(test, leaving) == 0) ++leaving;
    test.fleet.Announce(leaving, "desk", "draining", 1'000);
    test.fleet.Advance(100ms);
    test.fleet.Inject(leaving, ShutdownRequested{});
    test.fleet.Advance(900ms);
    test.fleet.Kill(leaving);
    test.fleet.Advance(5s);
    test.fleet.RestorePlatform(copy);
    if (restarts_owner) test.fleet.Restart(leaving);
    test.fleet.Advance(30s);
    CHECK(AllShares(test) == kShareCount);
    test.fleet.Advance(14min);
    CHECK(AllShares(test) == kShareCount);
    CHECK(watch.most == kShareCount);
  }
}

TEST_CASE("quota shares: a store that has lost the row gets it again") {
  QuotaFleet test(kSize, 1);
  const ShareWatch watch(test);
  const MemoryTable empty = test.fleet.Table();
  test.Start(kLimits);
  test.fleet.RestorePlatform(empty);
  test.fleet.Advance(30s);
  CHECK(AllShares(test) == kShareCount);
  for (const uint32_t n : test.fleet.Numbers()) test.fleet.Restart(n);
  test.fleet.Advance(10s);
  CHECK(AllShares(test) == kShareCount);
  CHECK(watch.most == kShareCount);
}

TEST_CASE("quota shares: reads of a calm fleet do not grow with it") {
  QuotaFleet test(24, 1);
  test.Start(kLimits);
  const uint64_t before = test.Counter("quota_share_reads_total");
  test.fleet.Advance(10min);
  const uint64_t reads = test.Counter("quota_share_reads_total") - before;
  MESSAGE(reads, " reads in 10 min");
  // One a minute for each owner, and one in ten minutes for the others.
  CHECK(reads <= kShareCount * 10 + 24);
}

}  // namespace
}  // namespace buckthorncart
