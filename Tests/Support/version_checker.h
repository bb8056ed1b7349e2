#pragma once
/// \file
/// Watches what every address of a fleet serves, after each event.

#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <vector>

#include "Support/fake_fleet.h"
#include "Wire/codec.h"

namespace buckthorncart {

/// Notes each moment at which a promise about versions is broken.
class VersionChecker {
 public:
  explicit VersionChecker(FakeFleet& fleet) {
    fleet.SetObserver([this](FakeDaemon& daemon) { Look(daemon); });
  }

  /// Times that an address served a version below one that it had served.
  uint64_t Regressions() const { return regressions_; }
  /// Times that what was held was not what had been accepted.
  uint64_t WrongContents() const { return wrong_contents_; }
  /// Times that a route or rule pointed at nothing.
  uint64_t DanglingReferences() const { return dangling_; }
  bool NoViolations() const {
    return regressions_ + wrong_contents_ + dangling_ == 0;
  }
  uint64_t ServedBy(Address address) { return served_[address]; }

 private:
  void Look(FakeDaemon& daemon) {
    const SharedState& shared = daemon.GetContext().Shared();
    const Snapshot& held = *shared.held;
    LookAtContents(shared.held);
    if (!shared.ready) return;
    uint64_t& served = served_[daemon.Self()];
    if (held.version < served) ++regressions_;
    served = std::max(served, held.version);
  }

  /// Digests and references are looked at once for each snapshot.
  void LookAtContents(const SnapshotPtr& held) {
    if (!seen_.insert(held).second) return;
    const uint64_t digest = held->configuration.Digest();
    const auto [it, first] = digest_of_.emplace(held->version, digest);
    const bool as_accepted = held->version == 0 || digest == held->digest;
    if (it->second != digest || !as_accepted) ++wrong_contents_;
    if (!held->configuration.Validate().empty()) ++dangling_;
  }

  std::map<Address, uint64_t> served_;
  std::set<SnapshotPtr> seen_;
  std::map<uint64_t, uint64_t> digest_of_;
  uint64_t regressions_ = 0;
  uint64_t wrong_contents_ = 0;
  uint64_t dangling_ = 0;
};

}  // namespace buckthorncart
