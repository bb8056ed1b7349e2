#include "Plugins/Reports/burn_window.h"

#include <doctest/doctest.h>

#include "Plugins/Reports/burn_json.h"

namespace buckthorncart {
namespace {

/// Policy for the control test: counts never expire.
struct FixedWindow {
  static constexpr bool kRolls = false;
};

constexpr Time kStart = 1000h;

/// True if counts are in the window for its span and expire afterwards.
template <typename Policy>
bool WindowRolls(Duration span) {
  BurnWindow<Policy> window(span);
  const Duration slice = span / kSlicesPerWindow;
  window.Add(kStart, {10, 2, 1});
  window.Add(kStart + span / 2, {5, 1, 0});
  if (window.Sum(kStart + span - slice).calls != 15) return false;
  if (window.Sum(kStart + span).calls != 5) return false;
  if (window.Sum(kStart + span).failures != 1) return false;
  return window.Sum(kStart + 2 * span).calls == 0;
}

TEST_CASE("burn window: counts expire after the span of the window") {
  for (const Duration span : kBurnSpans)
    CHECK(WindowRolls<RollingWindow>(span));
}

TEST_CASE("burn window: control, a window that never rolls is detected") {
  for (const Duration span : kBurnSpans) {
    CHECK_FALSE(WindowRolls<FixedWindow>(span));
  }
}

TEST_CASE("burn window: a long idle time empties it") {
  BurnWindow<> window(5min);
  window.Add(kStart, {10, 2, 1});
  CHECK(window.Sum(kStart + 100h).calls == 0);
  window.Add(kStart + 100h, {1, 0, 0});
  CHECK(window.Sum(kStart + 100h).calls == 1);
}

TEST_CASE("burn rows: rates and budgets of known counts") {
  Service service;
  service.name = "catalogus";
  service.availability_ppm = 990'000;
  service.latency_ppm = 900'000;
  const auto rows = BurnRows(service, {BurnCounts{1000, 5, 200}, {}, {}});
  CHECK(rows[0]["burn_rate"] == 0.5);
  CHECK(rows[0]["budget_left"] == 50.0);
  CHECK(rows[0]["latency_burn_rate"] == 2.0);
  CHECK(rows[0]["latency_budget_left"] == -100.0);
  CHECK(rows[1]["burn_rate"] == 0.0);
  CHECK(rows[1]["budget_left"] == 100.0);
}

TEST_CASE("burn rows: a missed objective of 100 % has no rate") {
  Service service;
  service.availability_ppm = 1'000'000;
  const auto rows = BurnRows(service, {BurnCounts{10, 1, 0}, {}, {}});
  CHECK(rows[0]["burn_rate"].is_null());
  CHECK(rows[0]["budget_left"].is_null());
  CHECK(rows[1]["burn_rate"] == 0.0);
}

TEST_CASE("burn counts: a malformed report changes nothing") {
  std::map<std::string, BurnReport> sum;
  CHECK(AddBurnCounts(R"({"a":[[1,2,3],[1,2,3],[1,2,3]]})", sum));
  CHECK_FALSE(AddBurnCounts(R"({"a":[[1,2,3],[1,2,3],[1,-2,3]]})", sum));
  CHECK_FALSE(AddBurnCounts(R"({"a":[[1,2,3]]})", sum));
  CHECK_FALSE(AddBurnCounts("not JSON", sum));
  CHECK(sum["a"][0].calls == 1);
}

}  // namespace
}  // namespace buckthorncart
