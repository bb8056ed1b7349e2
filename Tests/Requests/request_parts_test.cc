#include <doctest/doctest.h>

#include <algorithm>
#include <map>
#include <string>

#include "Plugins/Admission/announcement_filter.h"
#include "Plugins/Admission/connect_backoff.h"
#include "Plugins/Admission/crash_suspects.h"
#include "Plugins/Requests/failure_rate.h"
#include "Plugins/Requests/retry_after.h"
#include "Plugins/Requests/retry_budgets.h"
#include "Plugins/Requests/split_picker.h"

namespace buckthorncart {
namespace {

constexpr uint64_t kWallMs = 1'700'000'000'000;

ReceivedAnnouncement Announce(const std::string& id, uint64_t started_ms,
                              uint64_t sequence,
                              BackendState state = BackendState::kReady) {
  ReceivedAnnouncement announcement;
  announcement.backend.id = id;
  announcement.backend.started_ms = started_ms;
  announcement.backend.state = state;
  announcement.sequence = sequence;
  return announcement;
}

TEST_CASE("backend life: an announcement of an earlier start is ignored") {
  AnnouncementFilter filter;
  CHECK(filter.Accept(Announce("a", 100, 7), kWallMs));
  CHECK(filter.Accept(Announce("b", 200, 1), kWallMs));
  // Delayed by a partition, it arrives after the end of its sender.
  CHECK_FALSE(filter.Accept(Announce("a", 100, 8), kWallMs));
  CHECK_FALSE(filter.Accept(Announce("b", 200, 1), kWallMs));
  CHECK(filter.Accept(Announce("b", 200, 2), kWallMs));
}

TEST_CASE("backend life: the same id can start again") {
  AnnouncementFilter filter;
  CHECK(filter.Accept(Announce("a", 100, 9, BackendState::kDraining), kWallMs));
  CHECK_FALSE(filter.Accept(Announce("a", 100, 10), kWallMs));
  CHECK(filter.Accept(Announce("a", 300, 1), kWallMs));
}

TEST_CASE(
    "backend life: the end of another backend server does not end this one") {
  AnnouncementFilter filter;
  CHECK(filter.Accept(Announce("b", 200, 1), kWallMs));
  CHECK_FALSE(
      filter.Accept(Announce("a", 0, 0, BackendState::kAbsent), kWallMs));
  CHECK(filter.Accept(Announce("b", 0, 0, BackendState::kAbsent), kWallMs));
  CHECK_FALSE(filter.Accept(Announce("b", 200, 1), kWallMs));
}

// A daemon that has just been restarted hears the farewell of its backend
// server before any heartbeat; the heartbeat that was under way follows.
TEST_CASE("backend life: a farewell without a start ends the start before it") {
  AnnouncementFilter filter;
  CHECK(filter.Accept(Announce("a", 0, 0, BackendState::kAbsent), kWallMs));
  CHECK_FALSE(filter.Accept(Announce("a", kWallMs - 1, 12), kWallMs + 2));
  CHECK_FALSE(filter.Accept(Announce("a", 0, 13), kWallMs + 2));
  CHECK(filter.Accept(Announce("a", kWallMs + 1, 1), kWallMs + 3));
}

TEST_CASE("backend life: a farewell does not end another backend server") {
  AnnouncementFilter filter;
  CHECK(filter.Accept(Announce("a", 0, 0, BackendState::kAbsent), kWallMs));
  CHECK(filter.Accept(Announce("b", kWallMs - 1, 12), kWallMs + 2));
}

TEST_CASE("backend life: one odd announcement does not lock the server out") {
  AnnouncementFilter filter;
  CHECK(filter.Accept(Announce("a", 100, 7), kWallMs));
  // Of another writer: a later start, a start in the future, a large number.
  CHECK_FALSE(filter.Accept(Announce("a", kWallMs * 2, 1), kWallMs));
  CHECK(filter.Accept(Announce("a", 100, 8), kWallMs + 1));
  CHECK(filter.Accept(Announce("a", 100, 1'000'000), kWallMs + 2));
  for (uint64_t i = 0; i < 3; ++i) {
    CHECK_FALSE(
        filter.Accept(Announce("a", 100, 9 + i), kWallMs + 3 + i * 1'500));
  }
  CHECK(filter.Accept(Announce("a", 100, 12), kWallMs + 3 + 4'500));
}

// Review case 5: an announcement that names no start got round its order.
TEST_CASE("backend life: a server that names its start does so always") {
  AnnouncementFilter filter;
  CHECK(filter.Accept(Announce("a", 100, 7), kWallMs));
  CHECK_FALSE(filter.Accept(Announce("a", 0, 900), kWallMs + 1));
  CHECK_FALSE(
      filter.Accept(Announce("a", 0, 901, BackendState::kDraining), kWallMs));
  CHECK(filter.Accept(Announce("a", 100, 8, BackendState::kDraining), kWallMs));
  CHECK_FALSE(filter.Accept(Announce("a", 0, 902), kWallMs + 2));
  CHECK(filter.Accept(Announce("a", 0, 0, BackendState::kAbsent), kWallMs + 3));
}

TEST_CASE("backend life: a departure applies whatever its sequence number") {
  AnnouncementFilter filter;
  CHECK(filter.Accept(Announce("a", 100, 1'000'000), kWallMs));
  CHECK(filter.Accept(Announce("a", 100, 8, BackendState::kDraining), kWallMs));
  CHECK_FALSE(filter.Accept(Announce("a", 100, 9), kWallMs));
  CHECK_FALSE(
      filter.Accept(Announce("a", 100, 7, BackendState::kDraining), kWallMs));
}

TEST_CASE("backend life: a start that has ended never takes over") {
  AnnouncementFilter filter;
  CHECK(filter.Accept(Announce("a", 100, 7, BackendState::kDraining), kWallMs));
  for (uint64_t i = 0; i < 20; ++i) {
    CHECK_FALSE(filter.Accept(Announce("a", 100, 8 + i), kWallMs + i * 1'500));
  }
}

TEST_CASE(
    "split picker: every service gets its share after any number of requests") {
  Route route;
  route.name = "r";
  route.split = {{"a", 90}, {"b", 10}};
  SplitPicker picker;
  std::map<std::string, int> picked;
  for (int i = 1; i <= 500; ++i) {
    ++picked[picker.Pick(route)];
    CHECK(std::abs(picked["b"] - i / 10.0) <= 1.0);
  }
}

TEST_CASE("split picker: a change of another route keeps the order") {
  Route route;
  route.name = "r";
  route.split = {{"a", 1}, {"b", 1}};
  SplitPicker picker;
  const std::string first = picker.Pick(route);
  route.timeout_ms = 77;
  CHECK(picker.Pick(route) != first);
}

TEST_CASE("retry after: the delay is the part of the wait beyond the slack") {
  const Refusal refusal{Errc::kOverloaded, 900ms, 300ms, 6s};
  CHECK(RetryAfter(refusal, 0.0) == 600ms);
  CHECK(RetryAfter(refusal, 1.0) == 900ms);
}

TEST_CASE("retry after: at most a third of the remaining time") {
  CHECK(RetryAfter({Errc::kOverloaded, 9s, 0s, 1500ms}, 0.0) == 500ms);
  CHECK(RetryAfter({Errc::kDraining, 0s, 0s, 90ms}, 0.0) == 50ms);
}

TEST_CASE(
    "retry budgets: traffic to one service earns no retries for another") {
  RetryBudgets budgets(20, 2);
  for (int i = 0; i < 1'000; ++i) budgets.ForService("busy").RecordCall();
  int spent = 0;
  while (budgets.ForService("failing").TrySpend(RequestClass::kInteractive))
    ++spent;
  CHECK(spent == 2);
}

// Every backend server of a service refuses: each daemon spends its reserve,
// and the more daemons there are, the more retries the service gets.
TEST_CASE("retry budgets: the reserve of the fleet does not grow with it") {
  constexpr uint32_t kFleetReserve = 344;
  for (const size_t daemons : {11U, 195U, 770U}) {
    size_t spent = 0;
    for (size_t i = 0; i < daemons; ++i) {
      RetryBudgets budgets(12, 10, kFleetReserve);
      budgets.SetDaemonCount(daemons);
      while (budgets.ForService("a").TrySpend(RequestClass::kInteractive))
        ++spent;
    }
    CHECK(spent <= kFleetReserve);
  }
}

TEST_CASE(
    "retry budgets: a small share still lets the earned retries be used") {
  RetryBudgets budgets(12, 10, 100);
  budgets.SetDaemonCount(770);
  RetryBudget& budget = budgets.ForService("a");
  while (budget.TrySpend(RequestClass::kInteractive)) {
  }
  int spent = 0;
  for (int i = 0; i < 1'000; ++i) {
    budget.RecordCall();
    if (budget.TrySpend(RequestClass::kInteractive)) ++spent;
  }
  CHECK(spent == 120);
}

TEST_CASE("retry budgets: a request that may have run costs more to retry") {
  RetryBudgets budgets(12, 6);
  RetryBudget& budget = budgets.ForService("a");
  int spent = 0;
  while (budget.TrySpend(RequestClass::kInteractive, true)) ++spent;
  CHECK(spent == 4);
}

TEST_CASE("connect gate: consecutive failures lengthen the backoff") {
  ConnectBackoff backoff;
  backoff.RecordFailure(1s);
  CHECK(backoff.IsActive(1s + 99ms));
  CHECK_FALSE(backoff.IsActive(1s + 100ms));
  backoff.RecordFailure(2s);
  CHECK(backoff.IsActive(2s + 199ms));
  backoff.Reset();
  CHECK_FALSE(backoff.IsActive(2s + 1ms));
}

TEST_CASE(
    "crash suspects: only requests that broke shortly before are suspects") {
  CrashSuspects suspects;
  suspects.Add(1, 1s);
  suspects.Add(2, 5s);
  CHECK(suspects.TakeRecent(5s + 500ms) == std::vector<uint64_t>{2});
  CHECK(suspects.TakeRecent(5s + 500ms).empty());
}

TEST_CASE("failure share: it rises with failures and decays without answers") {
  FailureRate rate;
  for (int i = 0; i < 40; ++i) rate.Record(i % 2 == 0, 10s);
  CHECK(rate.Get(10s) > 0.4);
  CHECK(rate.Get(10s) < 0.6);
  CHECK(rate.Get(40s) < 0.05);
}

}  // namespace
}  // namespace buckthorncart
