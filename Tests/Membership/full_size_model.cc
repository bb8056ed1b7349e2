/// \file
/// `full_size_model N WAY PROFILE SETTLE`: simulates the kernels of N daemons
/// in virtual time. Prints the control traffic at rest, the control traffic of
/// one change and the time until the change is in force everywhere.

#include <algorithm>
#include <iostream>

#include "Kernel/spreading_profile.h"
#include "Membership/large_fleet.h"

namespace buckthorncart {
namespace {

void Run(uint32_t size, Spreading way, SpreadingProfile profile,
         Duration settle) {
  LargeFleet model(size, StandardPlugins,
                   [way, profile](KernelSettings& settings) {
                     settings.spreading = way;
                     ApplyProfile(profile, settings);
                   });
  const bool joined = model.fleet.AdvanceUntil(
      [next = Time{}, &model]() mutable {
        if (model.fleet.Now() < next) return false;
        next = model.fleet.Now() + 500ms;
        return model.MembershipConverged();
      },
      60s);
  std::cout << NameOf(profile) << ", "
            << NameOf(model.fleet.At(1).Settings().spreading) << ", daemons "
            << size << ", joined " << joined << " after "
            << ToMilliseconds(model.fleet.Now() - 1h) << " ms\n";
  model.fleet.Advance(settle);
  constexpr int kRestSeconds = 10;
  const uint64_t bytes_before_rest = model.TotalSentBytes();
  model.fleet.Advance(Duration(1s) * kRestSeconds);
  const double rest =
      static_cast<double>(model.TotalSentBytes() - bytes_before_rest) /
      kRestSeconds / size;
  std::cout << "at rest " << rest << " B/s a daemon\n";
  const uint64_t bytes_before_change = model.TotalSentBytes();
  const Time sent = model.fleet.Now();
  Time all_hold{};
  Time first_holds{};
  std::map<uint32_t, bool> held;
  model.fleet.SetObserver([&](FakeDaemon& daemon) {
    if (daemon.Version() == 0) return;
    if (held.empty()) first_holds = model.fleet.Now();
    held[LargeFleet::NumberOf(daemon.Self())] = true;
    if (held.size() == size && all_hold == Time{}) all_hold = model.fleet.Now();
  });
  const uint64_t reads = model.fleet.PlatformReads();
  const uint64_t writes = model.fleet.PlatformWrites();
  model.fleet.Submit(1, "POST", "/v1/changes", "create service catalogus");
  model.fleet.Advance(5s);
  const double seconds =
      std::chrono::duration<double>(model.fleet.Now() - sent).count();
  const double bytes =
      static_cast<double>(model.TotalSentBytes() - bytes_before_change) / size -
      rest * seconds;
  std::cout << "one change: held by " << held.size() << ", everywhere after "
            << ToMilliseconds(all_hold - first_holds) << " ms, " << bytes
            << " B a daemon, platform reads "
            << model.fleet.PlatformReads() - reads << ", writes "
            << model.fleet.PlatformWrites() - writes << " in 5 s\n";
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
