#include "Plugins/Admission/run_queue.h"

#include <doctest/doctest.h>

#include <algorithm>
#include <map>
#include <pcg_random.hpp>
#include <random>
#include <string>
#include <vector>

namespace buckthorncart {
namespace {

/// A kind of request in the simulation of a backend server.
struct Kind {
  std::string route;
  uint32_t priority = 0;
  Duration time{};
  Duration target{};
  double per_second = 0;
};

struct KindResult {
  uint32_t offered = 0;
  uint32_t in_target = 0;
};

struct FirstComeFirstServed : StandardRequestRules {
  static constexpr bool kSeparateClasses = false;
};
struct NoReserve : StandardRequestRules {
  static constexpr bool kReserveSlots = false;
};
struct NoMinShare : StandardRequestRules {
  static constexpr bool kShareWithBulk = false;
};

/// Simulates requests of `kinds` on `slots` slots in virtual time. As in
/// admission, a request is refused if its expected wait would miss the target.
template <RequestRules Rules>
std::map<std::string, KindResult> Simulate(const std::vector<Kind>& kinds,
                                           uint32_t slots, Duration length) {
  struct Waiting {
    size_t kind;
    Time arrived;
  };
  RunQueue<Rules> queue;
  std::map<uint64_t, Waiting> runs;
  std::multimap<Time, uint64_t> runs_by_end;
  std::map<std::string, KindResult> results;
  std::vector<Time> next_arrivals(kinds.size());
  pcg32 random(11);
  const auto draw_interval = [&](size_t i) {
    std::exponential_distribution<double> wait(kinds[i].per_second);
    return Duration(static_cast<int64_t>(wait(random) * 1e6));
  };
  for (size_t i = 0; i < kinds.size(); ++i) next_arrivals[i] = draw_interval(i);
  uint32_t slots_in_use = 0;
  uint64_t number = 0;
  const auto start = [&](uint64_t run, Time now) {
    ++slots_in_use;
    queue.RecordStart(kinds[runs.at(run).kind].route, now);
    runs_by_end.emplace(now + kinds[runs.at(run).kind].time, run);
  };
  const auto start_waiting = [&](Time now) {
    while (slots_in_use < slots) {
      const auto run = queue.Pop(slots, now);
      if (!run) return;
      start(*run, now);
    }
  };
  while (true) {
    const auto arrival =
        std::min_element(next_arrivals.begin(), next_arrivals.end());
    const Time end =
        runs_by_end.empty() ? Time::max() : runs_by_end.begin()->first;
    const Time now = std::min(*arrival, end);
    if (now > length) break;
    if (end <= *arrival) {
      const uint64_t run = runs_by_end.begin()->second;
      runs_by_end.erase(runs_by_end.begin());
      const Kind& kind = kinds[runs.at(run).kind];
      if (now - runs.at(run).arrived <= kind.target) {
        ++results[kind.route].in_target;
      }
      queue.RecordRunTime(kind.route, kind.time);
      queue.RecordEnd(kind.route);
      runs.erase(run);
      --slots_in_use;
      start_waiting(now);
      continue;
    }
    const auto i = static_cast<size_t>(arrival - next_arrivals.begin());
    next_arrivals[i] = now + draw_interval(i);
    const Kind& kind = kinds[i];
    ++results[kind.route].offered;
    const double weight = WeightOf(kind.priority, RequestClass::kInteractive);
    const bool can_start =
        slots_in_use < slots && queue.MayStart(kind.route, weight, slots, now);
    const Duration wait = queue.ExpectedWait(kind.route, weight, slots, now);
    if (!can_start && wait + kind.time > kind.target) continue;
    runs[++number] = {i, now};
    if (can_start) {
      start(number, now);
    } else {
      queue.Push(number, kind.route, weight);
    }
  }
  return results;
}

double ShareInTarget(const std::map<std::string, KindResult>& results,
                     const std::string& route) {
  const KindResult& result = results.at(route);
  return static_cast<double>(result.in_target) / result.offered;
}

/// Orders, long views, and the lookups that other requests make while they run:
/// 1.4 times the capacity of the slots.
std::vector<Kind> OrdersViewsAndLookups() {
  return {{"orders", 0, 110ms, 300ms, 40},
          {"views", 2, 640ms, 2s, 25},
          {"lookups", 1, 40ms, 150ms, 60}};
}

TEST_CASE(
    "run queue: overload by long views does not delay orders and lookups") {
  const auto kinds = OrdersViewsAndLookups();
  const auto results = Simulate<StandardRequestRules>(kinds, 16, 60s);
  CHECK(ShareInTarget(results, "orders") > 0.97);
  CHECK(ShareInTarget(results, "lookups") > 0.97);
  // Views get the remaining capacity, and those that are admitted are in time.
  CHECK(ShareInTarget(results, "views") > 0.4);
}

TEST_CASE("run queue control: without reserved slots views delay orders") {
  const auto kinds = OrdersViewsAndLookups();
  const auto results = Simulate<NoReserve>(kinds, 16, 60s);
  CHECK(ShareInTarget(results, "orders") < 0.9);
}

TEST_CASE("run queue control: in order of arrival lookups miss their target") {
  const auto kinds = OrdersViewsAndLookups();
  const auto results = Simulate<FirstComeFirstServed>(kinds, 16, 60s);
  CHECK(ShareInTarget(results, "lookups") < 0.9);
}

/// The urgent work alone exceeds the capacity of the slots.
std::vector<Kind> UrgentFlood() {
  return {{"urgent", 0, 100ms, 2s, 60}, {"patient", 2, 400ms, 8s, 4}};
}

TEST_CASE("run queue: a flood of urgent work does not starve the rest") {
  const auto results = Simulate<StandardRequestRules>(UrgentFlood(), 4, 60s);
  CHECK(ShareInTarget(results, "patient") > 0.2);
  CHECK(ShareInTarget(results, "urgent") > 0.5);
}

TEST_CASE("run queue control: without a minimum share the rest starves") {
  const auto results = Simulate<NoMinShare>(UrgentFlood(), 4, 60s);
  CHECK(ShareInTarget(results, "patient") < 0.1);
}

TEST_CASE("run queue: a nested lookup goes before the requests it belongs to") {
  // Releases of priority 1 take 210 ms, lookups of priority 2 take 40 ms.
  RunQueue<StandardRequestRules> queue;
  for (int i = 0; i < 50; ++i) {
    queue.RecordRunTime("releases", 210ms);
    queue.RecordRunTime("lookups", 40ms);
  }
  queue.Push(1, "releases", WeightOf(1, RequestClass::kInteractive));
  queue.Push(2, "lookups", WeightOf(2, RequestClass::kInteractive));
  CHECK(queue.Pop(4, 1s) == 2);
  CHECK(queue.Pop(4, 1s) == 1);
  CHECK_FALSE(queue.Pop(4, 1s));
}

TEST_CASE("run queue: the newest run of the least urgent flow is evicted") {
  RunQueue<StandardRequestRules> queue;
  const double urgent = WeightOf(0, RequestClass::kInteractive);
  const double patient = WeightOf(3, RequestClass::kInteractive);
  queue.Push(1, "patient", patient);
  queue.Push(2, "patient", patient);
  CHECK(queue.EvictFor("urgent", urgent) == 2);
  CHECK_FALSE(queue.EvictFor("patient", patient));
  CHECK(queue.Size() == 1);
}

}  // namespace
}  // namespace buckthorncart
