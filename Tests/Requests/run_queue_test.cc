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

/// One kind of request in a model of a backend server.
struct Kind {
  std::string route;
  uint32_t priority = 0;
  Duration time{};
  Duration target{};
  double per_second = 0;
};

struct Served {
  uint32_t offered = 0;
  uint32_t in_target = 0;
};

struct FirstComeFirstServed : StandardRequestRules {
  static constexpr bool kSeparateClasses = false;
};
struct NoReserve : StandardRequestRules {
  static constexpr bool kReserveSlots = false;
};
struct NoLeastShare : StandardRequestRules {
  static constexpr bool kShareWithBulk = false;
};

/// Runs kinds of requests against `slots` slots in virtual time. A request is
/// refused when its expected wait misses the target, as admission does.
template <RequestRules Rules>
std::map<std::string, Served> Play(const std::vector<Kind>& kinds,
                                   uint32_t slots, Duration length) {
  struct Waiting {
    size_t kind;
    Time arrived;
  };
  RunQueue<Rules> queue;
  std::map<uint64_t, Waiting> runs;
  std::multimap<Time, uint64_t> ends;
  std::map<std::string, Served> served;
  std::vector<Time> next(kinds.size());
  pcg32 random(11);
  const auto gap = [&](size_t i) {
    std::exponential_distribution<double> wait(kinds[i].per_second);
    return Duration(static_cast<int64_t>(wait(random) * 1e6));
  };
  for (size_t i = 0; i < kinds.size(); ++i) next[i] = gap(i);
  uint32_t used = 0;
  uint64_t number = 0;
  const auto start = [&](uint64_t run, Time now) {
    ++used;
    queue.NoteStart(kinds[runs.at(run).kind].route, now);
    ends.emplace(now + kinds[runs.at(run).kind].time, run);
  };
  const auto start_waiting = [&](Time now) {
    while (used < slots) {
      const auto run = queue.Pop(slots, now);
      if (!run) return;
      start(*run, now);
    }
  };
  while (true) {
    const auto arrival = std::min_element(next.begin(), next.end());
    const Time end = ends.empty() ? Time::max() : ends.begin()->first;
    const Time now = std::min(*arrival, end);
    if (now > length) break;
    if (end <= *arrival) {
      const uint64_t run = ends.begin()->second;
      ends.erase(ends.begin());
      const Kind& kind = kinds[runs.at(run).kind];
      if (now - runs.at(run).arrived <= kind.target) {
        ++served[kind.route].in_target;
      }
      queue.NoteTime(kind.route, kind.time);
      queue.NoteEnd(kind.route);
      runs.erase(run);
      --used;
      start_waiting(now);
      continue;
    }
    const auto i = static_cast<size_t>(arrival - next.begin());
    next[i] = now + gap(i);
    const Kind& kind = kinds[i];
    ++served[kind.route].offered;
    const double weight = WeightOf(kind.priority, RequestClass::kInteractive);
    const bool free =
        used < slots && queue.MayStart(kind.route, weight, slots, now);
    const Duration wait = queue.WaitOf(kind.route, weight, slots, now);
    if (!free && wait + kind.time > kind.target) continue;
    runs[++number] = {i, now};
    if (free) {
      start(number, now);
    } else {
      queue.Push(number, kind.route, weight);
    }
  }
  return served;
}

double ShareInTarget(const std::map<std::string, Served>& served,
                     const std::string& route) {
  const Served& one = served.at(route);
  return static_cast<double>(one.in_target) / one.offered;
}

/// Orders, long views and the lookups that other requests make while they run:
/// 1.4 times what the slots can do.
std::vector<Kind> OrdersViewsAndLookups() {
  return {{"orders", 0, 110ms, 300ms, 40},
          {"views", 2, 640ms, 2s, 25},
          {"lookups", 1, 40ms, 150ms, 60}};
}

TEST_CASE("run queue: overload by long views leaves orders and lookups whole") {
  const auto kinds = OrdersViewsAndLookups();
  const auto served = Play<StandardRequestRules>(kinds, 16, 60s);
  CHECK(ShareInTarget(served, "orders") > 0.97);
  CHECK(ShareInTarget(served, "lookups") > 0.97);
  // What is left goes to the views, and those that are taken are in time.
  CHECK(ShareInTarget(served, "views") > 0.4);
}

TEST_CASE("run queue control: without a reserve views hold orders up") {
  const auto kinds = OrdersViewsAndLookups();
  const auto served = Play<NoReserve>(kinds, 16, 60s);
  CHECK(ShareInTarget(served, "orders") < 0.9);
}

TEST_CASE("run queue control: in order of arrival lookups miss their target") {
  const auto kinds = OrdersViewsAndLookups();
  const auto served = Play<FirstComeFirstServed>(kinds, 16, 60s);
  CHECK(ShareInTarget(served, "lookups") < 0.9);
}

/// Urgent work alone takes all slots.
std::vector<Kind> UrgentFlood() {
  return {{"urgent", 0, 100ms, 2s, 60}, {"patient", 2, 400ms, 8s, 4}};
}

TEST_CASE("run queue: a flood of urgent work does not starve the rest") {
  const auto served = Play<StandardRequestRules>(UrgentFlood(), 4, 60s);
  CHECK(ShareInTarget(served, "patient") > 0.2);
  CHECK(ShareInTarget(served, "urgent") > 0.5);
}

TEST_CASE("run queue control: without a least share the rest starves") {
  const auto served = Play<NoLeastShare>(UrgentFlood(), 4, 60s);
  CHECK(ShareInTarget(served, "patient") < 0.1);
}

TEST_CASE("run queue: a nested lookup goes before the requests it belongs to") {
  // Releases of rank 1 take 210 ms, lookups of rank 2 take 40 ms.
  RunQueue<StandardRequestRules> queue;
  for (int i = 0; i < 50; ++i) {
    queue.NoteTime("releases", 210ms);
    queue.NoteTime("lookups", 40ms);
  }
  queue.Push(1, "releases", WeightOf(1, RequestClass::kInteractive));
  queue.Push(2, "lookups", WeightOf(2, RequestClass::kInteractive));
  CHECK(queue.Pop(4, 1s) == 2);
  CHECK(queue.Pop(4, 1s) == 1);
  CHECK_FALSE(queue.Pop(4, 1s));
}

TEST_CASE("run queue: the newest run of the last flow makes room") {
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
