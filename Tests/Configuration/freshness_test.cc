#include <doctest/doctest.h>

#include <algorithm>
#include <pcg_random.hpp>
#include <set>
#include <vector>

#include "Plugins/Configuration/configuration_freshness.h"
#include "Support/followed_fleet.h"
#include "Wire/codec.h"

namespace buckthorncart {
namespace {

/// Time limit for a version to be in force on each daemon that reaches the
/// store, from its acknowledgement (`configS` of the smallest deployments).
constexpr Duration kConfigurationLimit = 2s;
constexpr uint64_t kSeeds = 60;
/// Share of the daemons that each disruption affects, per cent.
constexpr uint32_t kDisruptedPercent = 35;

/// How daemons are separated from the other daemons. All of them still reach
/// the store.
enum class Separation : uint8_t {
  kBothWays,
  kOutbound,
  kInbound,
  kFrozen,
  kKilled,
};

struct Scenario {
  uint32_t size = 11;
  /// Daemons 1 to `relays` have wide links.
  uint32_t relays = 11;
  Separation separation = Separation::kBothWays;
};

std::set<uint32_t> Draw(pcg32& random, uint32_t size) {
  std::vector<uint32_t> numbers;
  for (uint32_t n = 1; n <= size; ++n) numbers.push_back(n);
  std::shuffle(numbers.begin(), numbers.end(), random);
  numbers.resize(size * kDisruptedPercent / 100);
  return {numbers.begin(), numbers.end()};
}

uint32_t NumberOf(Address address) { return address.ip & 0xFFFFU; }

/// Separates the daemons `cut` from all others, in the given way.
void Separate(FakeFleet& fleet, const std::set<uint32_t>& cut,
              Separation separation) {
  for (const uint32_t n : cut) {
    if (separation == Separation::kFrozen) fleet.Freeze(n);
    if (separation == Separation::kKilled) fleet.Kill(n);
  }
  if (separation > Separation::kInbound) return;
  fleet.SetFilter([cut, separation](Address from, const Effect& effect) {
    Address to;
    if (const auto* message = std::get_if<SendPeer>(&effect)) {
      to = message->to;
    } else if (const auto* datagram = std::get_if<SendDatagram>(&effect)) {
      to = datagram->to;
    } else {
      return true;
    }
    const bool outbound = cut.contains(NumberOf(from));
    const bool inbound = cut.contains(NumberOf(to));
    if (separation == Separation::kOutbound) return !outbound;
    if (separation == Separation::kInbound) return !inbound;
    return !outbound && !inbound;
  });
}

/// Returns the longest time from the acknowledgement of a change until a daemon
/// that reaches the store holds it. Other daemons, drawn by `seed`, are
/// separated or turned away by the store some time before the change.
Duration WorstDelay(const Scenario& scenario, uint64_t seed,
                    FakeFleet::PluginFactory plugins = StandardPlugins) {
  pcg32 random(seed);
  constexpr uint32_t kSlots = 4;
  FollowedFleet test(scenario.size, std::move(plugins), kSlots,
                     scenario.relays);
  test.fleet.StartAll();
  test.Write(2);
  test.fleet.Advance(10s + std::chrono::milliseconds(random(1'000)));
  const std::set<uint32_t> cut = Draw(random, scenario.size);
  const std::set<uint32_t> refused = Draw(random, scenario.size);
  Separate(test.fleet, cut, scenario.separation);
  test.fleet.RefusePlatformCalls(refused);
  test.fleet.Advance(std::chrono::milliseconds(random(4'000)));
  const Time acknowledged = test.fleet.Now();
  test.Write(9);
  const auto all_hold = [&] {
    for (uint32_t n = 1; n <= scenario.size; ++n) {
      const bool runs =
          scenario.separation < Separation::kFrozen || !cut.contains(n);
      if (refused.contains(n) || !runs) continue;
      if (test.Held(n) != 9) return false;
    }
    return true;
  };
  test.fleet.AdvanceUntil(all_hold, 30s);
  return test.fleet.Now() - acknowledged;
}

uint32_t LateRuns(const Scenario& scenario,
                  const FakeFleet::PluginFactory& plugins = StandardPlugins) {
  uint32_t late = 0;
  Duration worst{};
  for (uint64_t seed = 1; seed <= kSeeds; ++seed) {
    const Duration delay = WorstDelay(scenario, seed, plugins);
    worst = std::max(worst, delay);
    if (delay > kConfigurationLimit) ++late;
  }
  MESSAGE("late " << late << " of " << kSeeds << ", worst ms "
                  << ToMilliseconds(worst));
  return late;
}

// Review case 9: relays that had lost the store, or were cut off, left their
// followers with an older configuration, and withdrawn keys valid.
TEST_CASE("freshness: a daemon that reaches the store is current") {
  for (const auto separation :
       {Separation::kBothWays, Separation::kOutbound, Separation::kInbound,
        Separation::kFrozen, Separation::kKilled}) {
    CAPTURE(static_cast<int>(separation));
    CHECK(LateRuns({11, 11, separation}) == 0);
    CHECK(LateRuns({24, 8, separation}) == 0);
  }
}

/// All plug-ins but the one that checks the freshness.
FakeDaemon::Plugins WithoutFreshness(const KernelSettings& settings) {
  FakeDaemon::Plugins plugins = StandardPlugins(settings);
  std::erase_if(plugins, [](const std::unique_ptr<Plugin>& plugin) {
    return dynamic_cast<ConfigurationFreshness*>(plugin.get()) != nullptr;
  });
  return plugins;
}

TEST_CASE("freshness control: without checks daemons stay outdated") {
  for (const auto separation :
       {Separation::kBothWays, Separation::kOutbound, Separation::kInbound,
        Separation::kFrozen, Separation::kKilled}) {
    CAPTURE(static_cast<int>(separation));
    CHECK(LateRuns({11, 11, separation}, WithoutFreshness) > 0);
    CHECK(LateRuns({24, 8, separation}, WithoutFreshness) > 0);
  }
}

/// Calls to the platform in the time in which a change has to be in force, from
/// the loss of all relays on.
uint64_t CallsAfterLossOfRelays(uint32_t size, Separation separation) {
  constexpr uint32_t kSlots = 4;
  constexpr uint32_t kRelays = 6;
  FollowedFleet test(size, kSlots, size);
  test.fleet.StartAll();
  test.Write(2);
  test.fleet.Advance(15s);
  std::set<uint32_t> relays;
  for (uint32_t n = 1; n <= size; ++n) {
    if (test.fleet.At(n).GetContext().Shared().self.relays) relays.insert(n);
  }
  CHECK(relays.size() == kRelays);
  const uint64_t before = test.fleet.PlatformReads();
  Separate(test.fleet, relays, separation);
  test.Write(9);
  test.fleet.Advance(kConfigurationLimit);
  for (uint32_t n = 1; n <= size; ++n) {
    if (!relays.contains(n)) CHECK(test.Held(n) == 9);
  }
  return test.fleet.PlatformReads() - before;
}

// The daemons that depended on the relays must not all turn to the platform.
TEST_CASE("freshness: the loss of all relays at once is no stampede") {
  for (const auto separation : {Separation::kFrozen, Separation::kKilled}) {
    const uint64_t small = CallsAfterLossOfRelays(12, separation);
    const uint64_t large = CallsAfterLossOfRelays(96, separation);
    MESSAGE("calls at 12 daemons " << small << ", at 96 " << large);
    // Each data centre may need a few more checks, not each daemon.
    CHECK(large <= small + 24);
  }
}

TEST_CASE("freshness: messages do not grow with the fleet") {
  const auto reports_at = [](uint32_t size) {
    FollowedFleet test(size, 4, size);
    test.fleet.StartAll();
    test.Write(2);
    test.fleet.Advance(15s);
    std::map<uint32_t, uint64_t> sent;
    uint64_t received = 0;
    uint64_t most_sent = 0;
    const auto sum = [&](bool is_end) {
      for (uint32_t n = 1; n <= size; ++n) {
        FakeDaemon& daemon = test.fleet.At(n);
        const uint64_t before = sent[n];
        sent[n] = daemon.Counter("freshness_reports_sent_total");
        if (is_end) most_sent = std::max(most_sent, sent[n] - before);
        const uint64_t count =
            daemon.Counter("freshness_reports_received_total");
        received = is_end ? received + count : received - count;
      }
    };
    sum(false);
    test.fleet.Advance(20s);
    sum(true);
    MESSAGE(size << " daemons: received " << received / size
                 << " a daemon in 20 s, most sent " << most_sent);
    return std::pair(received / size, most_sent);
  };
  const auto small = reports_at(12);
  const auto large = reports_at(96);
  CHECK(large.first <= small.first + small.first / 10);
  // The limit of control messages, bytes a second for each daemon; the headers
  // of a datagram take 28 bytes.
  constexpr uint64_t kMaxBytesPerSecond = 5'000;
  constexpr uint64_t kHeaderBytes = 28;
  const FreshnessReport report{1'000'000, 1'000'000,         1'000'000'000,
                               3,         {1U << 31U, 7400}, 1ULL << 40U};
  const uint64_t bytes = Encode(Datagram(report)).size() + kHeaderBytes;
  MESSAGE("a report takes " << bytes << " bytes");
  CHECK(large.second * bytes / 20 <= kMaxBytesPerSecond);
}

// A report that was held up on its way must not count as young.
TEST_CASE("freshness: late reports do not extend the lease") {
  FollowedFleet test(12, 4, 12);
  test.fleet.StartAll();
  test.Write(2);
  test.fleet.Advance(15s);
  for (const Duration delay : {600ms, 1'500ms}) {
    test.fleet.SetDelay(delay);
    test.fleet.Advance(1s);
    const uint64_t version = test.Held(1) + 3;
    test.Write(version);
    test.fleet.Advance(kConfigurationLimit);
    CHECK(test.AllHold(version));
  }
}

double AgeOf(FollowedFleet& test, uint32_t n) {
  const std::string metrics =
      test.fleet.At(n).GetContext().AllMetrics().PrometheusText();
  const std::string name = "\nbuckthorncart_configuration_age_seconds ";
  const size_t at = metrics.find(name);
  REQUIRE(at != std::string::npos);
  return std::stod(metrics.substr(at + name.size()));
}

// Daemons behind relays showed the time since their own last call.
TEST_CASE("freshness: operators see the age of each daemon's configuration") {
  FollowedFleet test(12, 4, 6);
  test.fleet.StartAll();
  test.Write(2);
  test.fleet.Advance(20s);
  for (uint32_t n = 1; n <= 12; ++n) CHECK(AgeOf(test, n) < 1.0);
  test.fleet.RefusePlatformCalls({12});
  Separate(test.fleet, {12}, Separation::kBothWays);
  test.fleet.Advance(10s);
  CHECK(AgeOf(test, 12) > 9.0);
  CHECK(AgeOf(test, 11) < 2.0);
}

// A row that cannot be applied confirms nothing, and was read again at once.
TEST_CASE("freshness: a row that cannot be applied is read with pauses") {
  FollowedFleet test(6, 4, 6);
  test.fleet.StartAll();
  test.Write(2);
  test.fleet.Advance(15s);
  const uint64_t before = test.fleet.PlatformReads();
  test.fleet.Put(std::string(kFollowedRow), "\x93\x05 cut");
  test.fleet.Advance(20s);
  // Less than one call a second for each daemon.
  CHECK(test.fleet.PlatformReads() - before <= 6 * 20);
  test.Write(9);
  test.fleet.Advance(4s);
  CHECK(test.AllHold(9));
}

// The first version as well must not depend on the relays.
TEST_CASE("freshness: a daemon that starts while its relays are cut") {
  for (const auto separation :
       {Separation::kBothWays, Separation::kOutbound, Separation::kFrozen}) {
    FollowedFleet test(12, 4, 6);
    test.fleet.StartAll();
    test.Write(2);
    test.fleet.Advance(15s);
    Separate(test.fleet, {1, 2, 3, 4, 5, 6}, separation);
    test.fleet.Restart(12);
    test.fleet.Advance(500ms);
    test.Write(9);
    test.fleet.Advance(kConfigurationLimit);
    CHECK(test.Held(12) == 9);
  }
}

}  // namespace
}  // namespace buckthorncart
