#pragma once
/// \file
/// The version that a daemon must hold before it serves.

#include <algorithm>
#include <cstdint>
#include <map>
#include <optional>
#include <set>

#include "Base/address.h"
#include "Base/digest.h"
#include "Base/time.h"
#include "Plugins/Configuration/configuration_rules.h"
#include "Wire/peer_messages.h"

namespace buckthorncart {

/// Shortest time for reports when the platform is unavailable.
inline constexpr Duration kFloorWindow = 2s;
/// Time after which a peer that neither reports nor breaks its connection is
/// no longer waited for.
inline constexpr Duration kFloorPatience = 10s;
/// Bounds of the interval of repeated questions.
inline constexpr Duration kMinFloorRetry = 500ms;
inline constexpr Duration kMaxFloorRetry = 8s;

/// Collects what the platform and the peers report in one start, or in one
/// resumption after a freeze. Answers to questions of an earlier start do not
/// count: what they say may be out of date by the length of the freeze.
template <ConfigurationRules Rules>
class StartFloor {
 public:
  /// Begins a new start; `round` differs from that of every earlier start at
  /// this address. `resumed` tells that this process has been ready
  /// before, so that the version that it holds is one that it has served.
  void Begin(Time now, uint64_t round, bool resumed) {
    known_ = !Rules::kWaitForFloor;
    version_ = 0;
    platform_failed_ = false;
    resumed_ = resumed;
    since_ = now;
    attempts_ = 0;
    ready_report_ = false;
    highest_report_ = 0;
    waiting_for_.clear();
    accounted_for_.clear();
    round_ = round;
  }

  bool Known() const { return known_; }
  uint64_t Version() const { return version_; }
  uint64_t Round() const { return round_; }

  void Set(uint64_t version) {
    known_ = true;
    version_ = version;
  }

  void NotePlatformFailed() { platform_failed_ = true; }

  void NoteAsked(Address peer) {
    if (!accounted_for_.contains(peer)) waiting_for_.insert(peer);
  }

  /// The connection to `peer` broke: nothing runs there, or it is cut off.
  void NoteUnreachable(Address peer) { waiting_for_.erase(peer); }

  void NoteReport(Address from, const FloorReport& report) {
    if (Rules::kFreshFloorOnly && report.round != round_) return;
    highest_report_ =
        std::max({highest_report_, report.held, report.heard_from_asker});
    waiting_for_.erase(from);
    accounted_for_.insert(from);
    if (report.ready) ready_report_ = true;
  }

  /// The floor by the reports of peers alone; nothing while the platform may
  /// still answer, or while a peer that may know more is waited for.
  std::optional<uint64_t> ByPeers(Time now) const {
    if (known_ || !platform_failed_) return std::nullopt;
    const Duration waited = now - since_;
    if (waited < kFloorWindow) return std::nullopt;
    const bool complete = waiting_for_.empty() || waited >= kFloorPatience;
    if (Rules::kFloorOfAllPeers && !complete) return std::nullopt;
    // When the whole fleet was frozen at once nobody is ready; what this
    // process served before the freeze is then the best that is known.
    const bool enough = ready_report_ || (resumed_ && complete);
    if (!enough) return std::nullopt;
    return highest_report_;
  }

  /// Time until the questions are asked again: doubles up to a limit, spread
  /// by a hash of `self` so that a herd of starts does not stay in step.
  Duration NextRetry(Address self) {
    constexpr uint32_t kMaxDoublings = 4;
    constexpr int64_t kPermille = 1'000;
    const auto spread = static_cast<int64_t>(
        RendezvousWeight(round_ + attempts_, AddressHash{}(self)) % kPermille);
    const Duration base = std::min<Duration>(
        kMinFloorRetry * (1U << std::min(attempts_, kMaxDoublings)),
        kMaxFloorRetry);
    ++attempts_;
    return base / 2 + base * spread / (2 * kPermille);
  }

 private:
  bool known_ = false;
  uint64_t version_ = 0;
  bool platform_failed_ = false;
  bool resumed_ = false;
  Time since_{};
  uint32_t attempts_ = 0;
  uint64_t round_ = 0;
  bool ready_report_ = false;
  /// Highest version held by a peer or heard by it from this address.
  uint64_t highest_report_ = 0;
  std::set<Address> waiting_for_;
  std::set<Address> accounted_for_;
};

}  // namespace buckthorncart
