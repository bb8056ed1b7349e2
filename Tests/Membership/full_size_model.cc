/// \file
/// `full_size_model N WAY PROFILE SETTLE`: kernels of N daemons in virtual
/// time; prints control bytes at rest and for one change, and the time until it
/// is in force.

#include <algorithm>
#include <iostream>

#include "Kernel/spreading_profile.h"
#include "Membership/large_fleet.h"

namespace buckthorncart {
namespace {

void Run(uint32_t size, Spreading way, SpreadingProfile profile,
         Duration settle) {
  LargeFleet test(size, StandardPlugins,
                  [way, profile](KernelSettings& settings) {
                    settings.spreading = way;
                    ApplyProfile(profile, settings);
                  });
  const bool joined = test.fleet.AdvanceUntil(
      [next = Time{}, &test]() mutable {
        if (test.fleet.Now() < next) return false;
        next = test.fleet.Now() + 500ms;
        return test.WholeEverywhere();
      },
      60s);
  std::cout << NameOf(profile) << ", "
            << NameOf(test.fleet.At(1).Settings().spreading) << ", daemons "
            << size << ", joined " << joined << " after "
            << ToMilliseconds(test.fleet.Now() - 1h) << " ms\n";
  test.fleet.Advance(settle);
  constexpr int kRestSeconds = 10;
  const uint64_t before = test.SentBytesOfAll();
  test.fleet.Advance(Duration(1s) * kRestSeconds);
  const double rest =
      static_cast<double>(test.SentBytesOfAll() - before) / kRestSeconds / size;
  std::cout << "at rest " << rest << " B/s a daemon\n";
  const uint64_t unchanged = test.SentBytesOfAll();
  const Time sent = test.fleet.Now();
  Time all_hold{};
  Time first_holds{};
  std::map<uint32_t, bool> held;
  test.fleet.SetObserver([&](FakeDaemon& daemon) {
    if (daemon.Version() == 0) return;
    if (held.empty()) first_holds = test.fleet.Now();
    held[LargeFleet::NumberOf(daemon.Self())] = true;
    if (held.size() == size && all_hold == Time{}) all_hold = test.fleet.Now();
  });
  const uint64_t reads = test.fleet.PlatformReads();
  const uint64_t writes = test.fleet.PlatformWrites();
  test.fleet.Submit(1, "POST", "/v1/changes", "create service catalogus");
  test.fleet.Advance(5s);
  const double seconds =
      std::chrono::duration<double>(test.fleet.Now() - sent).count();
  const double bytes =
      static_cast<double>(test.SentBytesOfAll() - unchanged) / size -
      rest * seconds;
  std::cout << "one change: held by " << held.size() << ", everywhere after "
            << ToMilliseconds(all_hold - first_holds) << " ms, " << bytes
            << " B a daemon, platform reads "
            << test.fleet.PlatformReads() - reads << ", writes "
            << test.fleet.PlatformWrites() - writes << " in 5 s\n";
}

}  // namespace
}  // namespace buckthorncart

int main(int argc, char** argv) {
  constexpr uint32_t kFullSize = 770;
  const uint32_t size =
      argc > 1 ? static_cast<uint32_t>(std::stoul(argv[1])) : kFullSize;
  const auto way = buckthorncart::ParseEnum<buckthorncart::Spreading>(
      argc > 2 ? argv[2] : "mixed");
  const auto profile =
      buckthorncart::ParseEnum<buckthorncart::SpreadingProfile>(
          argc > 3 ? argv[3] : "balanced");
  constexpr int kSettleArgument = 4;
  const std::chrono::seconds settle(
      argc > kSettleArgument ? std::stol(argv[kSettleArgument]) : 60);
  if (!way || !profile) {
    std::cerr << "full_size_model: expected N WAY PROFILE SECONDS\n";
    return 2;
  }
  buckthorncart::Run(size, *way, *profile, settle);
  return 0;
}
