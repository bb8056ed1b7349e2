#include <doctest/doctest.h>

#include <algorithm>

#include "Requests/request_fleet.h"

namespace buckthorncart {
namespace {

constexpr uint32_t kReceivers = 2;
constexpr uint32_t kServers = 8;
constexpr uint32_t kSlots = 4;
constexpr uint32_t kSlow = kReceivers + 1;
constexpr uint32_t kShedding = kReceivers + 2;
constexpr Duration kTime = 10ms;
constexpr Duration kSlowTime = 100ms;
constexpr Duration kLoad = 3s;
constexpr uint32_t kInteractiveDeadlineMs = 200;
constexpr uint32_t kBulkDeadlineMs = 1'000;
/// Twice what all slots take: 2 * 8 * 4 / 10 ms.
constexpr uint32_t kOfferedPerSecond = 6'400;
/// One call in so many is interactive.
constexpr uint32_t kInteractiveEvery = 4;
/// Six good backend servers and one of a tenth.
constexpr double kCapacityPerSecond = 6 * 4 * 100 + 4 * 10;

struct Tally {
  uint64_t calls = 0;
  uint64_t attempts = 0;
  uint64_t whole = 0;
  uint64_t interactive = 0;
  uint64_t interactive_in_time = 0;
  std::vector<int64_t> times_us;

  int64_t TimeAt(double share) const {
    std::vector<int64_t> sorted = times_us;
    std::sort(sorted.begin(), sorted.end());
    if (sorted.empty()) return 0;
    const auto last = static_cast<double>(sorted.size() - 1);
    return sorted[static_cast<size_t>(share * last)];
  }
  double Goodput() const {
    return static_cast<double>(whole) /
           std::chrono::duration<double>(kLoad).count();
  }
  double AttemptsPerCall() const {
    return static_cast<double>(attempts) / static_cast<double>(calls);
  }
  double InteractiveShare() const {
    return static_cast<double>(interactive_in_time) /
           static_cast<double>(interactive);
  }
};

class Overload {
 public:
  explicit Overload(FakeFleet::PluginFactory plugins)
      : test_(std::move(plugins), {kReceivers, kServers, kSlots}) {
    for (uint32_t i = 0; i < kServers; ++i) {
      test_.fleet.Behaviours()[test_.FirstServer() + i].time = kTime;
    }
  }

  void SlowAndShedding() {
    test_.fleet.Behaviours()[kSlow].time = kSlowTime;
    test_.fleet.Behaviours()[kShedding].sheds = true;
  }
  void KillHalf() {
    for (uint32_t i = 0; i < kServers / 2; ++i) {
      test_.fleet.Kill(test_.FirstServer() + i);
    }
  }

  Tally Run(uint32_t per_second, const std::function<void()>& halfway = {}) {
    const uint64_t attempts = test_.SumCounter("call_attempts_total");
    const auto calls = static_cast<uint32_t>(
        std::chrono::duration<double>(kLoad).count() * per_second);
    std::map<uint64_t, Time> sent;
    std::map<uint64_t, bool> interactive;
    for (uint32_t i = 0; i < calls; ++i) {
      if (halfway && i == calls / 2) halfway();
      const bool urgent = i % kInteractiveEvery == 0;
      const uint64_t call =
          test_.Get(1 + i % kReceivers, urgent ? "/proofs" : "/exports",
                    urgent ? kInteractiveDeadlineMs : kBulkDeadlineMs);
      sent[call] = test_.fleet.Now();
      interactive[call] = urgent;
      test_.fleet.Advance(Duration(1s) / per_second);
    }
    const Time end = test_.fleet.Now();
    test_.fleet.Advance(2s);
    Tally tally;
    tally.calls = calls;
    tally.attempts = test_.SumCounter("call_attempts_total") - attempts;
    for (const auto& [call, at] : sent) {
      const Time answered = test_.fleet.AnsweredAt().at(call);
      const bool whole = test_.IsWhole(call);
      if (whole && answered <= end) ++tally.whole;
      if (whole) tally.times_us.push_back((answered - at).count());
      if (!interactive[call]) continue;
      ++tally.interactive;
      const Duration limit = std::chrono::milliseconds(kInteractiveDeadlineMs);
      if (whole && answered - at <= limit) ++tally.interactive_in_time;
    }
    MESSAGE("calls " << tally.calls << " attempts/call "
                     << tally.AttemptsPerCall() << " goodput/s "
                     << tally.Goodput() << " of " << kCapacityPerSecond
                     << " interactive in time " << tally.InteractiveShare()
                     << " p50 us " << tally.TimeAt(0.5) << " p99 us "
                     << tally.TimeAt(0.99));
    return tally;
  }

 private:
  RequestFleet test_;
};

constexpr double kGoodput = 0.9 * kCapacityPerSecond;
constexpr double kMaxAttempts = 1.1;
/// Share of interactive calls that are whole and in time.
constexpr double kInTime = 0.99;
/// Share of all calls that are whole below capacity.
constexpr double kWhole = 0.99;

template <RequestRules Rules, BackendChoice Choice = TwoRandomChoices>
Tally RunOverload() {
  Overload overload(PluginsWith<Rules, Choice>);
  overload.SlowAndShedding();
  return overload.Run(kOfferedPerSecond);
}

struct NoRetryBudget : StandardRequestRules {
  static constexpr bool kBoundRetries = false;
};
struct NoClasses : StandardRequestRules {
  static constexpr bool kSeparateClasses = false;
};
struct NoDeadlineCheck : StandardRequestRules {
  static constexpr bool kCheckServiceTime = false;
  static constexpr bool kCancelExpired = false;
  // The reserve alone would hide that slots are wasted.
  static constexpr bool kReserveSlots = false;
};
/// Both choices are compared without it too, as it helps any choice.
struct NoReserve : StandardRequestRules {
  static constexpr bool kReserveSlots = false;
};

TEST_CASE("overload: goodput, deadlines and attempts hold at twice the slots") {
  const Tally tally = RunOverload<StandardRequestRules>();
  CHECK(tally.Goodput() >= kGoodput);
  CHECK(tally.AttemptsPerCall() <= kMaxAttempts);
  CHECK(tally.InteractiveShare() >= kInTime);
}

TEST_CASE("overload control: without a retry budget attempts grow") {
  CHECK(RunOverload<NoRetryBudget>().AttemptsPerCall() > kMaxAttempts);
}

TEST_CASE("overload control: without classes interactive calls are late") {
  CHECK(RunOverload<NoClasses>().InteractiveShare() < kInTime);
}

TEST_CASE("overload control: without deadline checks slots are wasted") {
  const Tally tally = RunOverload<NoDeadlineCheck>();
  const bool holds = tally.Goodput() >= kGoodput &&
                     tally.AttemptsPerCall() <= kMaxAttempts &&
                     tally.InteractiveShare() >= kInTime;
  CHECK(!holds);
}

/// 95% of what the backend servers take.
constexpr uint32_t kBelowCapacityPerSecond = 2'318;

template <BackendChoice Choice, RequestRules Rules = StandardRequestRules>
double WholeBelowCapacity() {
  Overload overload(PluginsWith<Rules, Choice>);
  overload.SlowAndShedding();
  const Tally tally = overload.Run(kBelowCapacityPerSecond);
  return static_cast<double>(tally.whole) / static_cast<double>(tally.calls);
}

TEST_CASE("overload: a slow and a shedding server cost few calls") {
  CHECK(WholeBelowCapacity<TwoRandomChoices>() >= kWhole);
  CHECK(WholeBelowCapacity<LeastTimeChoice>() >= kWhole);
  CHECK(WholeBelowCapacity<TwoRandomChoices, NoReserve>() >= kWhole);
  CHECK(WholeBelowCapacity<LeastTimeChoice, NoReserve>() >= kWhole);
}

TEST_CASE("overload control: a uniform choice loses calls to a slow server") {
  CHECK(WholeBelowCapacity<UniformChoice, NoReserve>() < kWhole);
}

constexpr uint32_t kHalfLoadPerSecond = 2'400;

TEST_CASE("overload: half of the backend servers go without a retry storm") {
  Overload overload(PluginsWith<StandardRequestRules>);
  const Tally tally =
      overload.Run(kHalfLoadPerSecond, [&] { overload.KillHalf(); });
  CHECK(tally.AttemptsPerCall() <= kMaxAttempts);
  CHECK(tally.InteractiveShare() >= 0.9);
}

TEST_CASE("overload control: half go and retries are not bounded") {
  Overload overload(PluginsWith<NoRetryBudget>);
  const Tally tally =
      overload.Run(kHalfLoadPerSecond, [&] { overload.KillHalf(); });
  CHECK(tally.AttemptsPerCall() > kMaxAttempts);
}

}  // namespace
}  // namespace buckthorncart
