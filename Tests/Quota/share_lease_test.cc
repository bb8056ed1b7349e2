#include <doctest/doctest.h>

#include <algorithm>
#include <cmath>

#include "Quota/granter_watch.h"
#include "Quota/quota_fleet.h"
#include "Quota/quota_policies.h"

namespace buckthorncart {
namespace {

constexpr uint32_t kSize = 11;
const QuotaFleet::Limits kLimits = {{"hot", {100, 50}}, {"calm", {20, 10}}};

double HotLoad(const std::string& workspace, uint32_t /*n*/) {
  return (workspace == "hot" ? 700.0 : 12.0) / kSize;
}

TEST_CASE("quota: a workspace beyond its limit does not cost another one") {
  QuotaFleet test(kSize, 1);
  test.Start(kLimits);
  test.Run(15s, HotLoad);
  // The last requests are answered.
  test.fleet.Advance(1s);
  const QuotaResult hot = test.ResultOf("hot", kLimits.at("hot"));
  const QuotaResult calm = test.ResultOf("calm", kLimits.at("calm"));
  CHECK(hot.refused > 0);
  CHECK(hot.served + hot.refused == hot.sent);
  // Most of the limit is used, although it is spread over all daemons.
  CHECK(hot.served >= 1'300);
  CHECK(calm.served == calm.sent);
}

/// Workspaces of skewed sizes whose callers send 1 / 1.6 of their limits.
QuotaFleet::Limits SkewedLimits(uint32_t count, double total_per_s) {
  constexpr double kLimitFactor = 1.6;
  constexpr double kSkew = 1.2;
  double sum = 0;
  for (uint32_t i = 1; i <= count; ++i) sum += std::pow(i, -kSkew);
  QuotaFleet::Limits limits;
  for (uint32_t i = 1; i <= count; ++i) {
    const double rate = total_per_s * std::pow(i, -kSkew) / sum;
    limits["w" + std::to_string(i)] = {rate * kLimitFactor, 0};
  }
  return limits;
}

struct Refusals {
  uint32_t sent = 0;
  uint32_t wrongly_refused = 0;
};

Refusals UsualLoad(uint32_t size, const QuotaFleet::Limits& limits,
                   const QuotaFleet::Sides& sides) {
  constexpr double kLimitFactor = 1.6;
  QuotaFleet test(size, 2);
  test.Start(limits);
  if (sides) {
    test.Cut(sides);
    test.fleet.Advance(15s);
  }
  test.Run(20s, [&](const std::string& workspace, uint32_t /*n*/) {
    return limits.at(workspace).rate_per_s / kLimitFactor / size;
  });
  Refusals refusals;
  for (const auto& [name, limit] : limits) {
    const QuotaResult result = test.ResultOf(name, limit);
    refusals.sent += result.sent;
    refusals.wrongly_refused += result.refused;
    CHECK(test.Excess(name, limit) <= 0);
  }
  return refusals;
}

TEST_CASE("quota: the usual load of small workspaces is not refused") {
  const Refusals refusals = UsualLoad(24, SkewedLimits(40, 200), {});
  MESSAGE(refusals.wrongly_refused, " of ", refusals.sent, " refused");
  CHECK(refusals.wrongly_refused * 1'000 <= refusals.sent);
}

TEST_CASE("quota: few are refused wrongly while a third is cut off") {
  const Refusals refusals = UsualLoad(
      24, SkewedLimits(40, 200), [](uint32_t n) { return n % 3 == 0 ? 1 : 0; });
  MESSAGE(refusals.wrongly_refused, " of ", refusals.sent, " refused");
  CHECK(refusals.wrongly_refused * 50 <= refusals.sent);
}

/// The sides of a cut change as fast as shares can follow.
double MovingCutExcess(FakeFleet::PluginFactory plugins) {
  QuotaFleet test(kSize, 3, std::move(plugins));
  test.Start(kLimits);
  for (uint32_t step = 0; step < 12; ++step) {
    test.Cut([step](uint32_t n) { return (n + step) % 3; });
    test.Run(2s, HotLoad);
  }
  return test.Excess("hot", kLimits.at("hot"));
}

TEST_CASE("quota: a cut whose sides change gives out nothing twice") {
  CHECK(MovingCutExcess(StandardPlugins) <= 0);
}

TEST_CASE("quota: leases that do not end give out shares twice") {
  CHECK(MovingCutExcess(QuotaPlugins<EndlessLeasesPolicy>) > 0);
}

/// Returns the daemon that hands out the tokens of workspace "hot".
uint32_t GranterOfHot(QuotaFleet& test) {
  const uint32_t first = test.fleet.Numbers().front();
  const Address granter =
      GranterChoice().Of(test.fleet.At(first).GetContext(), GroupOf("hot"));
  return granter.ip & 0xFFFFU;
}

/// A granter is lost, another one takes its place, and the first one returns.
template <QuotaPolicy Policy>
uint32_t SharesWhileGranterReturns() {
  GranterWatch<Policy> watch;
  QuotaFleet test(kSize, 8, [&watch](const KernelSettings& settings) {
    return watch.Create(settings);
  });
  watch.Observe(test);
  test.Start(kLimits);
  const uint32_t granter = GranterOfHot(test);
  for (uint32_t i = 0; i < 3; ++i) {
    test.fleet.Kill(granter);
    test.fleet.Advance(8s);
    test.fleet.Restart(granter);
    test.fleet.Advance(8s);
  }
  return watch.Most();
}

TEST_CASE("quota: no two granters have a share while one returns") {
  CHECK(SharesWhileGranterReturns<StandardQuotaPolicy>() == kShareCount);
}

TEST_CASE("quota: owners that do not wait lease a share to two granters") {
  CHECK(SharesWhileGranterReturns<EarlyLeasesPolicy>() > kShareCount);
}

/// All daemons but a granter are cut off from it and start again.
template <QuotaPolicy Policy>
uint32_t SharesAfterRestart() {
  GranterWatch<Policy> watch;
  QuotaFleet test(kSize, 8, [&watch](const KernelSettings& settings) {
    return watch.Create(settings);
  });
  watch.Observe(test);
  test.Start(kLimits);
  const uint32_t granter = GranterOfHot(test);
  test.Cut([granter](uint32_t n) { return n == granter ? 1U : 0U; });
  for (const uint32_t n : test.fleet.Numbers()) {
    if (n != granter) test.fleet.Restart(n);
  }
  test.fleet.Advance(8s);
  return watch.Most();
}

TEST_CASE("quota: owners that start again wait for their earlier leases") {
  CHECK(SharesAfterRestart<StandardQuotaPolicy>() == kShareCount);
}

TEST_CASE("quota: owners that do not wait after a start give shares twice") {
  CHECK(SharesAfterRestart<EarlyGainsPolicy>() > kShareCount);
}

/// Callers move from daemon to daemon, and then come to all of them.
double MovingCallersExcess(FakeFleet::PluginFactory plugins) {
  QuotaFleet test(kSize, 4, std::move(plugins));
  test.Start(kLimits);
  for (uint32_t n = 1; n <= kSize; ++n) {
    test.Run(300ms, [n](const std::string& workspace, uint32_t daemon) {
      return workspace == "hot" && daemon == n ? 1'000.0 : 0.0;
    });
    test.fleet.Advance(1s);
  }
  test.Run(6s, HotLoad);
  return test.Excess("hot", kLimits.at("hot"));
}

TEST_CASE("quota: callers that move find no tokens of before") {
  CHECK(MovingCallersExcess(StandardPlugins) <= 0);
}

TEST_CASE("quota: tokens that do not expire accumulate") {
  CHECK(MovingCallersExcess(QuotaPlugins<EndlessTokensPolicy>) > 0);
}

TEST_CASE("quota: daemons that join get tokens and add none") {
  QuotaFleet test(kSize, 7);
  test.Start(kLimits);
  for (uint32_t n = kSize + 1; n <= 2 * kSize; ++n) test.Join(n);
  test.Run(12s, [](const std::string& workspace, uint32_t /*n*/) {
    return (workspace == "hot" ? 700.0 : 12.0) / (2 * kSize);
  });
  CHECK(test.Excess("hot", kLimits.at("hot")) <= 0);
  const QuotaResult calm = test.ResultOf("calm", kLimits.at("calm"));
  CHECK(calm.wrongly_refused * 50 <= calm.sent);
}

// A store that is away for minutes costs nothing: shares stay with their
// owners.
TEST_CASE("quota: the limit is served while the store is away") {
  QuotaFleet test(kSize, 9);
  test.Start(kLimits);
  test.fleet.SetPlatformFault(PlatformFault::kDown);
  test.fleet.Advance(3min);
  test.Run(10s, [](const std::string& /*workspace*/, uint32_t /*n*/) {
    return 12.0 / kSize;
  });
  CHECK(test.ResultOf("calm", kLimits.at("calm")).refused == 0);
  CHECK(test.ResultOf("hot", kLimits.at("hot")).refused == 0);
}

TEST_CASE("quota: leases do not grow with the fleet") {
  constexpr double kSeconds = 10;
  for (const uint32_t size : {11U, 48U}) {
    QuotaFleet test(size, 10);
    test.Start(kLimits);
    const uint64_t before = test.Counter("quota_leases_sent_total");
    test.fleet.Advance(10s);
    const auto leases =
        static_cast<double>(test.Counter("quota_leases_sent_total") - before);
    MESSAGE(size, " daemons: ", leases / kSeconds, " leases a second in all");
    // One for each owner and group each 300 ms.
    CHECK(leases <= kSeconds * kShareCount * kQuotaGroups / 0.3 +
                        kShareCount * kQuotaGroups);
  }
}

}  // namespace
}  // namespace buckthorncart
