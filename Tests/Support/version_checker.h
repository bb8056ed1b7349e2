#pragma once
/// \file
/// Checks the configuration that each daemon of a fleet serves, after each
/// event.

#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <vector>

#include "Support/fake_fleet.h"
#include "Wire/codec.h"

namespace buckthorncart {

/// Counts violations of the guarantees on configuration versions.
class VersionChecker {
 public:
  explicit VersionChecker(FakeFleet& fleet) {
    fleet.SetObserver([this](FakeDaemon& daemon) { Check(daemon); });
  }

  /// Number of times that an address served a version lower than before.
  uint64_t Regressions() const { return regressions_; }
  /// Number of snapshots whose contents differ from the accepted ones.
  uint64_t WrongContents() const { return wrong_contents_; }
  /// Number of snapshots in which a route or rule refers to a missing object.
  uint64_t DanglingReferences() const { return dangling_references_; }
  bool NoViolations() const {
    return regressions_ + wrong_contents_ + dangling_references_ == 0;
  }
  uint64_t LastServedVersion(Address address) { return served_[address]; }

 private:
  void Check(FakeDaemon& daemon) {
    const SharedState& shared = daemon.GetContext().Shared();
    const Snapshot& held = *shared.held;
    CheckContents(shared.held);
    if (!shared.ready) return;
    uint64_t& served = served_[daemon.Self()];
    if (held.version < served) ++regressions_;
    served = std::max(served, held.version);
  }

  /// Checks digests and references, once for each snapshot.
  void CheckContents(const SnapshotPtr& held) {
    if (!checked_.insert(held).second) return;
    const uint64_t digest = held->configuration.Digest();
    const auto [it, first] = digests_.emplace(held->version, digest);
    const bool matches_accepted = held->version == 0 || digest == held->digest;
    if (it->second != digest || !matches_accepted) ++wrong_contents_;
    if (!held->configuration.Validate().empty()) ++dangling_references_;
  }

  std::map<Address, uint64_t> served_;
  std::set<SnapshotPtr> checked_;
  std::map<uint64_t, uint64_t> digests_;
  uint64_t regressions_ = 0;
  uint64_t wrong_contents_ = 0;
  uint64_t dangling_references_ = 0;
};

}  // namespace buckthorncart
