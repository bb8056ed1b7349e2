#pragma once
/// \file
/// Minimum version that a daemon must hold before it serves.

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

/// Minimum time to collect peer reports while the platform is unavailable.
inline constexpr Duration kMinPeerReportWait = 2s;
/// Timeout for a peer that neither reports nor closes its connection.
inline constexpr Duration kPeerReportTimeout = 10s;
/// Limits of the interval between repeated queries.
inline constexpr Duration kMinFloorQueryInterval = 500ms;
inline constexpr Duration kMaxFloorQueryInterval = 8s;

/// Determines the version floor from the replies of the platform and of peers,
/// once per start or per resumption after a freeze. Replies to queries of an
/// earlier start are ignored, since they may be outdated by the length of the
/// freeze.
template <ConfigurationRules Rules>
class StartFloor {
 public:
  /// Begins a new start. `round` must differ from that of every earlier start
  /// at this address. `resumed` is true if this process has been ready before
  /// and has therefore served the version that it holds.
  void Begin(Time now, uint64_t round, bool resumed) {
    known_ = !Rules::kWaitForFloor;
    version_ = 0;
    platform_failed_ = false;
    resumed_ = resumed;
    started_at_ = now;
    attempts_ = 0;
    ready_peer_reported_ = false;
    highest_reported_ = 0;
    pending_peers_.clear();
    reported_peers_.clear();
    round_ = round;
  }

  bool IsKnown() const { return known_; }
  uint64_t Version() const { return version_; }
  uint64_t Round() const { return round_; }

  void Set(uint64_t version) {
    known_ = true;
    version_ = version;
  }

  void RecordPlatformFailure() { platform_failed_ = true; }

  void RecordQuery(Address peer) {
    if (!reported_peers_.contains(peer)) pending_peers_.insert(peer);
  }

  /// Call this when the connection to `peer` fails. The peer is either not
  /// running or unreachable, and its report is no longer awaited.
  void RecordUnreachable(Address peer) { pending_peers_.erase(peer); }

  void RecordReport(Address from, const FloorReport& report) {
    if (Rules::kIgnoreStaleReplies && report.round != round_) return;
    highest_reported_ =
        std::max({highest_reported_, report.held, report.heard_from_asker});
    pending_peers_.erase(from);
    reported_peers_.insert(from);
    if (report.ready) ready_peer_reported_ = true;
  }

  /// Returns the floor according to peer reports alone. Returns nothing while
  /// the platform may still reply or a peer that may hold a newer version has
  /// not reported.
  std::optional<uint64_t> FromPeerReports(Time now) const {
    if (known_ || !platform_failed_) return std::nullopt;
    const Duration waited = now - started_at_;
    if (waited < kMinPeerReportWait) return std::nullopt;
    const bool complete =
        pending_peers_.empty() || waited >= kPeerReportTimeout;
    if (Rules::kAwaitAllPeerReports && !complete) return std::nullopt;
    // If all daemons were frozen at once, none is ready. The best known floor
    // is then the version that this process served before the freeze.
    const bool enough = ready_peer_reported_ || (resumed_ && complete);
    if (!enough) return std::nullopt;
    return highest_reported_;
  }

  /// Returns the delay before the next queries. It doubles up to a limit and is
  /// jittered by a hash of `self`, so that daemons that start at once don't
  /// stay synchronized.
  Duration NextQueryDelay(Address self) {
    constexpr uint32_t kMaxDoublings = 4;
    constexpr int64_t kPermille = 1'000;
    const auto spread = static_cast<int64_t>(
        RendezvousWeight(round_ + attempts_, AddressHash{}(self)) % kPermille);
    const Duration base = std::min<Duration>(
        kMinFloorQueryInterval * (1U << std::min(attempts_, kMaxDoublings)),
        kMaxFloorQueryInterval);
    ++attempts_;
    return base / 2 + base * spread / (2 * kPermille);
  }

 private:
  bool known_ = false;
  uint64_t version_ = 0;
  bool platform_failed_ = false;
  bool resumed_ = false;
  Time started_at_{};
  uint32_t attempts_ = 0;
  uint64_t round_ = 0;
  bool ready_peer_reported_ = false;
  /// Highest version that a peer holds or has heard from this address.
  uint64_t highest_reported_ = 0;
  std::set<Address> pending_peers_;
  std::set<Address> reported_peers_;
};

}  // namespace buckthorncart
