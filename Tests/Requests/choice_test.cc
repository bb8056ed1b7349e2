#include <doctest/doctest.h>

#include <cstdint>
#include <map>
#include <string>

#include "Support/followed_fleet.h"

namespace buckthorncart {
namespace {

constexpr uint32_t kDaemons = 60;
constexpr uint32_t kDataCentres = 3;
constexpr uint32_t kSlots = 5;
constexpr Duration kRunTime = 200ms;
constexpr Duration kLoadDuration = 5s;

struct CrossingResult {
  uint32_t served = 0;
  uint32_t crossed = 0;

  double Share() const {
    return static_cast<double>(crossed) / static_cast<double>(served);
  }
};

/// Number of the daemon whose backend server has answered, from the text of the
/// simulated answer.
uint32_t ServerOf(const AnswerPart& answer) {
  constexpr std::string_view kPrefix = "answer of ";
  return static_cast<uint32_t>(std::stoul(answer.body.substr(kPrefix.size())));
}

/// Every daemon of three data centres receives the same share of calls at
/// `percent` hundredths of the capacity of all backend servers.
CrossingResult RunFleet(uint32_t percent) {
  FollowedFleet test(kDaemons, kSlots);
  for (uint32_t n = 1; n <= kDaemons; ++n)
    test.fleet.Behaviours()[n].time = kRunTime;
  test.fleet.StartAll();
  test.Write(2);
  test.fleet.Advance(5s);
  const auto per_second = static_cast<uint32_t>(
      kDaemons * kSlots * percent / 100 * (Duration(1s) / kRunTime));
  std::map<uint64_t, uint32_t> received_by;
  const auto calls = per_second * static_cast<uint32_t>(kLoadDuration / 1s);
  for (uint32_t i = 0; i < calls; ++i) {
    const uint32_t n = 1 + i * 7 % kDaemons;
    const uint64_t call = test.fleet.Call(
        n, {"GET", "/v2/x", {{std::string(header::kDeadline), "3000"}}, ""});
    received_by[call] = n;
    test.fleet.Advance(Duration(1s) / per_second);
  }
  test.fleet.Advance(4s);
  constexpr uint16_t kHttpOk = 200;
  CrossingResult result;
  for (const auto& [call, n] : received_by) {
    const AnswerPart& answer = test.fleet.CallerAnswers()[call];
    if (answer.status != kHttpOk) continue;
    ++result.served;
    if (ServerOf(answer) % kDataCentres != n % kDataCentres) ++result.crossed;
  }
  MESSAGE(percent << "% of capacity: " << calls << " calls, served "
                  << result.served << ", crossed " << result.Share());
  CHECK(result.served >= calls * 99 / 100);
  return result;
}

// In a large fleet a daemon sends to any one backend server so rarely that what
// it knows of its load is old. Calls must not leave a data centre that has free
// slots for that.
TEST_CASE("choice: calls stay in a data centre that has free slots") {
  CHECK(RunFleet(50).Share() <= 0.005);
  CHECK(RunFleet(80).Share() <= 0.02);
}

}  // namespace
}  // namespace buckthorncart
