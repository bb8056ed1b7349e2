#include <doctest/doctest.h>

#include <map>
#include <string>

#include "Plugins/Admission/announcement_filter.h"
#include "Plugins/Admission/connect_backoff.h"
#include "Plugins/Admission/crash_suspects.h"
#include "Plugins/Requests/failure_share.h"
#include "Plugins/Requests/retry_after.h"
#include "Plugins/Requests/retry_budgets.h"
#include "Plugins/Requests/split_picker.h"

namespace buckthorncart {
namespace {

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

TEST_CASE("backend life: an announcement of an earlier start is no news") {
  AnnouncementFilter life;
  CHECK(life.Accept(Announce("a", 100, 7)));
  CHECK(life.Accept(Announce("b", 200, 1)));
  // Held up by a partition, it arrives after its sender's end.
  CHECK_FALSE(life.Accept(Announce("a", 100, 8)));
  CHECK_FALSE(life.Accept(Announce("b", 200, 1)));
  CHECK(life.Accept(Announce("b", 200, 2)));
}

TEST_CASE("backend life: the same id can start anew") {
  AnnouncementFilter life;
  CHECK(life.Accept(Announce("a", 100, 9, BackendState::kDraining)));
  CHECK_FALSE(life.Accept(Announce("a", 100, 10)));
  CHECK(life.Accept(Announce("a", 300, 1)));
}

TEST_CASE("backend life: another's farewell does not end this one") {
  AnnouncementFilter life;
  CHECK(life.Accept(Announce("b", 200, 1)));
  CHECK_FALSE(life.Accept(Announce("a", 0, 0, BackendState::kAbsent)));
  CHECK(life.Accept(Announce("b", 0, 0, BackendState::kAbsent)));
  CHECK_FALSE(life.Accept(Announce("b", 200, 1)));
}

TEST_CASE("split picker: every service gets its weight at any time") {
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

TEST_CASE("retry after: a caller returns when the wait has become bearable") {
  const Refusal refusal{Errc::kOverloaded, 900ms, 300ms, 6s};
  CHECK(RetryAfter(refusal, 0.0) == 600ms);
  CHECK(RetryAfter(refusal, 1.0) == 900ms);
}

TEST_CASE("retry after: no more than a third of the time left") {
  CHECK(RetryAfter({Errc::kOverloaded, 9s, 0s, 1500ms}, 0.0) == 500ms);
  CHECK(RetryAfter({Errc::kDraining, 0s, 0s, 90ms}, 0.0) == 50ms);
}

TEST_CASE("retry budgets: traffic to one service buys no retries at another") {
  RetryBudgets budgets(20, 2);
  for (int i = 0; i < 1'000; ++i) budgets.Of("busy").NoteCall();
  int spent = 0;
  while (budgets.Of("failing").Spend(RequestClass::kInteractive)) ++spent;
  CHECK(spent == 2);
}

TEST_CASE("connect gate: failures in a row close it for longer") {
  ConnectBackoff gate;
  gate.RecordFailure(1s);
  CHECK(gate.IsActive(1s + 99ms));
  CHECK_FALSE(gate.IsActive(1s + 100ms));
  gate.RecordFailure(2s);
  CHECK(gate.IsActive(2s + 199ms));
  gate.Reset();
  CHECK_FALSE(gate.IsActive(2s + 1ms));
}

TEST_CASE("crash suspects: only what broke shortly before counts") {
  CrashSuspects suspects;
  suspects.Add(1, 1s);
  suspects.Add(2, 5s);
  CHECK(suspects.TakeRecent(5s + 500ms) == std::vector<uint64_t>{2});
  CHECK(suspects.TakeRecent(5s + 500ms).empty());
}

TEST_CASE("failure share: it rises with failures and fades without answers") {
  FailureShare share;
  for (int i = 0; i < 40; ++i) share.Note(i % 2 == 0, 10s);
  CHECK(share.At(10s) > 0.4);
  CHECK(share.At(10s) < 0.6);
  CHECK(share.At(40s) < 0.05);
}

}  // namespace
}  // namespace buckthorncart
