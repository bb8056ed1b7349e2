#include "Plugins/Quota/quota_pool.h"

#include <doctest/doctest.h>

#include <algorithm>
#include <random>

namespace buckthorncart {
namespace {

const Address kOwner{1, 1};
const Address kOther{2, 1};

/// Limit of `rate` and `burst` under the bounds that are promised to the users.
BucketLimit MakeLimit(double rate, uint32_t burst) {
  Workspace workspace;
  workspace.rate_per_1000_s = static_cast<uint64_t>(rate * 1'000);
  workspace.burst = burst;
  return LimitOf(KernelSettings{}, workspace);
}

TEST_CASE("quota pool: full buckets and late tokens stay within the bound") {
  for (const double rate : {0.2, 1.0, 37.0, 5'000.0}) {
    for (const uint32_t burst : {0U, 10U, 1'000U}) {
      const BucketLimit limit = MakeLimit(rate, burst);
      const double lifetime_s =
          std::chrono::duration<double>(kTokenLifetime).count();
      const double most = limit.depth + limit.rate_per_s * (5.0 + lifetime_s);
      CHECK(most <= (rate * 5.0 + burst) * 1.1 + 20.0);
      CHECK(limit.rate_per_s == doctest::Approx(rate));
    }
  }
}

TEST_CASE("quota pool: a window without tolerance lowers the rate") {
  KernelSettings settings;
  settings.quota_overage_per_mille = 0;
  settings.quota_slack = 0;
  Workspace workspace;
  workspace.rate_per_1000_s = 100'000;
  const BucketLimit limit = LimitOf(settings, workspace);
  CHECK(limit.rate_per_s * 5.3 <= doctest::Approx(500.0));
  CHECK(limit.depth >= 0.0);
}

TEST_CASE("quota pool: a bucket is empty at first and fills by its shares") {
  QuotaPool pool({});
  pool.SetLimits({{"w", MakeLimit(64, 100)}}, 10s);
  CHECK(pool.Take("w", 1, 10s).tokens == 0);
  pool.AddLease(GroupOf("w"), kOwner, kShareCount / 2, 30s, 10s);
  CHECK(pool.Take("w", 100, 10s).tokens == 0);
  CHECK(pool.Take("w", 100, 11s).tokens == 32);
  const TokenGrant grant = pool.Take("w", 1, 11s);
  CHECK(grant.tokens == 0);
  CHECK(grant.shares == kShareCount / 2);
  CHECK(grant.retry_after > 0ms);
  CHECK(grant.retry_after <= 32ms);
}

TEST_CASE("quota pool: a share that ends takes its tokens with it") {
  QuotaPool pool({});
  const BucketLimit limit = MakeLimit(10, 20);
  pool.SetLimits({{"w", limit}}, 0s);
  pool.AddLease(GroupOf("w"), kOwner, kShareCount / 2, 100s, 0s);
  pool.AddLease(GroupOf("w"), kOther, kShareCount / 2, 60s, 0s);
  // At 60 s half of the depth is left, which the other half of the shares has
  // kept full since.
  CHECK(pool.Take("w", 1'000, 90s).tokens ==
        static_cast<uint32_t>(limit.depth / 2));
  CHECK(pool.Take("w", 1, 101s).tokens == 0);
  CHECK(pool.Take("w", 1, 101s).shares == 0);
}

TEST_CASE("quota pool: a lease that is late does not extend a younger one") {
  QuotaPool pool({});
  pool.SetLimits({{"w", MakeLimit(10, 20)}}, 0s);
  pool.AddLease(GroupOf("w"), kOwner, 4, 10s, 0s);
  pool.AddLease(GroupOf("w"), kOwner, 8, 9s, 1s);
  CHECK(pool.Take("w", 1, 2s).shares == 4);
  pool.AddLease(GroupOf("w"), kOther, 8, 2s, 3s);
  CHECK(pool.Take("w", 1, 3s).shares == 4);
}

TEST_CASE("quota pool: a lower limit takes effect on the tokens at once") {
  QuotaPool pool({});
  pool.SetLimits({{"w", MakeLimit(1'000, 500)}}, 0s);
  pool.AddLease(GroupOf("w"), kOwner, kShareCount, 100s, 0s);
  pool.Take("w", 1, 50s);
  const BucketLimit lower = MakeLimit(1, 0);
  pool.SetLimits({{"w", lower}}, 50s);
  CHECK(pool.Take("w", 1'000, 50s).tokens <= lower.depth);
  pool.SetLimits({{"w", MakeLimit(1'000, 500)}}, 50s);
  CHECK(pool.Take("w", 1'000, 50s).tokens <= 1);
}

TEST_CASE("quota pool: a workspace that is renamed starts empty") {
  QuotaPool pool({});
  pool.SetLimits({{"a", MakeLimit(100, 0)}}, 0s);
  for (uint32_t group = 0; group < kQuotaGroups; ++group)
    pool.AddLease(group, kOwner, kShareCount, 100s, 0s);
  pool.SetLimits({{"b", MakeLimit(100, 0)}}, 10s);
  CHECK(pool.Take("a", 1, 10s).tokens == 0);
  CHECK(pool.Take("b", 1, 10s).tokens == 0);
  CHECK(pool.Take("b", 1'000, 11s).tokens > 0);
}

/// Takes what there is at random times, while shares come and go, and returns
/// the excess of the worst window of 5 s over the bound.
double WorstExcess(uint64_t seed, QuotaPool::Rules rules) {
  constexpr double kRate = 50;
  constexpr uint32_t kBurst = 30;
  std::mt19937_64 random(seed);
  QuotaPool pool(rules);
  pool.SetLimits({{"w", MakeLimit(kRate, kBurst)}}, 0s);
  std::vector<std::pair<Time, uint32_t>> taken;
  Time now{};
  while (now < 60s) {
    now += Duration(random() % 40'000);
    if (random() % 20 == 0)
      pool.AddLease(GroupOf("w"), kOwner, random() % (kShareCount + 1),
                    now + Duration(random() % 2'000'000), now);
    if (random() % 4 == 0)
      taken.emplace_back(now, pool.Take("w", 1'000, now).tokens);
  }
  double worst = -1e9;
  for (size_t i = 0; i < taken.size(); ++i) {
    double sum = 0;
    for (size_t k = i; k < taken.size(); ++k) {
      if (taken[k].first - taken[i].first > 5s) break;
      sum += taken[k].second;
    }
    worst = std::max(worst, sum - ((kRate * 5 + kBurst) * 1.1 + 20));
  }
  return worst;
}

TEST_CASE("quota pool: no window exceeds the bound, whatever shares do") {
  for (uint64_t seed = 1; seed <= 50; ++seed) {
    CAPTURE(seed);
    CHECK(WorstExcess(seed, {}) <= 0);
  }
}

}  // namespace
}  // namespace buckthorncart
