/// The platform's store comes back from an older copy: rows of daemons.

#include <doctest/doctest.h>

#include <string>

#include "Support/followed_fleet.h"

namespace buckthorncart {
namespace {

constexpr uint32_t kDaemons = 9;

size_t MemberRows(FakeFleet& fleet) {
  return fleet.Table().Apply(ScanRows{"vm/", "", 1'000}).rows.size();
}

/// The store loses the rows of all daemons. Two of the nine call it regularly;
/// the others have to hear of the restore.
TEST_CASE("restore: the rows of all daemons are stored again") {
  FollowedFleet test(kDaemons, 4, 2);
  const MemoryTable empty = test.fleet.Table();
  test.fleet.StartAll();
  test.Write(10);
  test.fleet.Advance(5s);
  CHECK(MemberRows(test.fleet) == kDaemons);
  test.fleet.RestorePlatform(empty);
  CHECK(MemberRows(test.fleet) == 0);
  test.Write(10);
  test.fleet.Advance(3s);
  CHECK(MemberRows(test.fleet) == kDaemons);
}

TEST_CASE("restore: a daemon that starts afterwards finds the fleet") {
  FollowedFleet test(kDaemons, 4, 2);
  const MemoryTable empty = test.fleet.Table();
  test.fleet.StartAll();
  test.Write(10);
  test.fleet.Advance(5s);
  test.fleet.RestorePlatform(empty);
  test.Write(10);
  test.fleet.Advance(3s);
  test.fleet.Restart(kDaemons);
  test.fleet.Advance(2s);
  CHECK(test.Held(kDaemons) == 10);
  CHECK(test.fleet.At(kDaemons).GetContext().Shared().members.size() ==
        kDaemons - 1);
}

TEST_CASE("restore: what a peer claims is not taken for the store's era") {
  FollowedFleet test(3);
  test.fleet.StartAll();
  test.Write(10);
  test.fleet.Advance(3s);
  const uint64_t writes = test.fleet.PlatformWrites();
  constexpr uint64_t kClaimed = 1ULL << 40U;
  test.fleet.Inject(
      1, DatagramReceived{test.fleet.At(2).Self(), VersionHint{10, kClaimed}});
  test.fleet.Advance(5s);
  // Each daemon stores its rows once more, and goes on as before.
  CHECK(test.fleet.PlatformWrites() - writes <= 6);
  test.Write(11);
  test.fleet.Advance(2s);
  CHECK(test.AllHold(11));
}

}  // namespace
}  // namespace buckthorncart
