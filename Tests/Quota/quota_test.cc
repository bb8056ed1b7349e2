#include <doctest/doctest.h>

#include "Quota/quota_fleet.h"

namespace buckthorncart {
namespace {

constexpr uint32_t kSize = 11;
const QuotaFleet::Limits kLimits = {{"hot", {100, 50}}, {"calm", {20, 10}}};

double HotLoad(const std::string& workspace, uint32_t /*n*/) {
  return (workspace == "hot" ? 700.0 : 12.0) / kSize;
}

/// Callers of one workspace send 7 times its limit at all daemons.
double HotExcess(FakeFleet::PluginFactory plugins) {
  QuotaFleet test(kSize, 1, std::move(plugins));
  test.Start(kLimits);
  test.Run(15s, HotLoad);
  return test.Excess("hot", kLimits.at("hot"));
}

// A workspace that sent more than its limit to all daemons together had all of
// its requests run (QUOTA broken).
TEST_CASE("quota: a workspace gets no more than its limit from all daemons") {
  CHECK(HotExcess(StandardPlugins) <= 0);
}

}  // namespace
}  // namespace buckthorncart
