#pragma once
/// \file
/// Statistics of backend servers, kept by the daemon that receives the calls.

#include <algorithm>
#include <cstdint>
#include <map>
#include <string>
#include <utility>

#include "Base/address.h"
#include "Base/time.h"
#include "Plugins/Requests/backend_choice.h"
#include "Plugins/Requests/ejection.h"
#include "Plugins/Requests/failure_rate.h"
#include "Plugins/Requests/request_rules.h"
#include "Plugins/Requests/service_time.h"
#include "Plugins/Requests/typical_times.h"
#include "Wire/member.h"

namespace buckthorncart {

/// Collects the load, the service times and the failures of each backend server
/// from answers and refusals, and its state from the member record. A backend
/// server is identified by the address of its daemon.
template <RequestRules Rules>
class BackendStats {
 public:
  /// A request was sent to `peer`.
  void RecordSent(Address peer) { ++peers_[peer].in_flight; }
  /// An attempt at `peer` has ended.
  void RecordDone(Address peer) {
    const auto it = peers_.find(peer);
    if (it != peers_.end() && it->second.in_flight > 0) --it->second.in_flight;
  }
  /// An answer arrived that reports the load; it ends an ejection.
  void RecordLoad(Address peer, uint32_t load_per_mille, Time now) {
    PeerStats& stats = peers_[peer];
    stats.load_per_mille = load_per_mille;
    stats.load_reported_at = now;
    stats.ejection.RecordAnswer();
  }
  /// A request was answered completely after `time`.
  void RecordTime(Address peer, const std::string& route, Duration time,
                  Time now) {
    ServiceTimeOf(peers_[peer], route).Record(time, now);
    typical_times_.Record(route, time);
  }
  /// Mean time of recent calls of `route` at all backend servers; zero if not
  /// known.
  Duration TypicalTimeOf(const std::string& route) const {
    return typical_times_.Of(route);
  }
  /// A request was abandoned after `elapsed`.
  void RecordAbandoned(Address peer, const std::string& route, Duration elapsed,
                       Time now) {
    ServiceTimeOf(peers_[peer], route).RecordLowerBound(elapsed, now);
  }
  /// An answer arrived; `failed` is true if its status is a server error.
  void RecordOutcome(Address peer, bool failed, Time now) {
    peers_[peer].failure_rate.Record(failed, now);
  }
  /// Returns true if the failure starts a new ejection.
  bool RecordFailure(Address peer, Time now) {
    return peers_[peer].ejection.RecordFailure(now);
  }
  /// A refusal for lack of slots, which also ejects the peer for a time.
  void RecordOverloaded(Address peer, Time now) {
    PeerStats& stats = peers_[peer];
    stats.load_per_mille = kOverloadedLoad;
    stats.load_reported_at = now;
    stats.ejection.RecordFailure(now);
  }
  /// A refusal for lack of slots that reports the load of the backend server.
  void RecordBusy(Address peer, uint32_t load_per_mille, Time now) {
    PeerStats& stats = peers_[peer];
    stats.load_per_mille = std::max(load_per_mille, kMinBusyLoad);
    stats.load_reported_at = now;
  }
  /// An answer or refusal that reports the time until the link of the peer is
  /// free for a further body.
  void RecordLinkWait(Address peer, Duration wait, Time now) {
    PeerStats& stats = peers_[peer];
    stats.link_wait = wait;
    stats.link_reported_at = now;
  }
  /// Last reported wait for the link of `peer`, discounted by its age.
  Duration LinkWaitOf(Address peer, Time now) const {
    const auto it = peers_.find(peer);
    if (it == peers_.end()) return Duration::zero();
    const Duration age = now - it->second.link_reported_at;
    return Duration(it->second.link_wait.count() * kLinkHalfLife.count() /
                    (kLinkHalfLife + age).count());
  }
  /// A refusal because the backend server is unavailable, which contradicts the
  /// record of `member`.
  void RecordUnavailable(const Member& member, Time now) {
    PeerStats& stats = peers_[member.address];
    stats.excluded_record = RecordVersionOf(member);
    stats.excluded_until = now + kMaxExclusion;
  }
  /// The record of `member` was added or has changed.
  void UpdateMember(const Member& member, Time now) {
    if (member.status == MemberStatus::kGone) {
      const auto it = peers_.find(member.address);
      if (it != peers_.end() && it->second.in_flight == 0) peers_.erase(it);
      return;
    }
    PeerStats& stats = peers_[member.address];
    const BackendState state = member.backend.state;
    const bool became_ready = stats.known && state == BackendState::kReady &&
                              stats.state != BackendState::kReady;
    if (became_ready) stats.ready_at = now;
    stats.known = true;
    stats.state = state;
  }

  bool IsExcluded(const Member& member, Time now) const {
    const auto it = peers_.find(member.address);
    return Rules::kExcludeUnavailable && it != peers_.end() &&
           now < it->second.excluded_until &&
           it->second.excluded_record == RecordVersionOf(member);
  }
  bool IsEjected(Address peer, Time now) const {
    const auto it = peers_.find(peer);
    return it != peers_.end() && it->second.ejection.IsEjected(now);
  }

  /// Candidate with the statistics of the backend server of `member`.
  Candidate MakeCandidate(const Member& member, const std::string& route,
                          Duration slow_start, Time now) const {
    Candidate candidate;
    candidate.daemon = member.address;
    candidate.slots = std::max(member.backend.slots, 1U);
    candidate.capacity = member.capacity;
    candidate.pace_per_mille = member.pace_per_mille;
    candidate.typical_time = typical_times_.Of(route);
    const auto it = peers_.find(member.address);
    if (it == peers_.end()) return candidate;
    const PeerStats& stats = it->second;
    candidate.in_flight = stats.in_flight;
    candidate.load_per_mille = stats.load_per_mille;
    candidate.load_age = now - stats.load_reported_at;
    candidate.failure_rate = stats.failure_rate.Get(now);
    candidate.expected_time = ExpectedTimeOf(stats, route, now);
    candidate.weight = SlowStartWeight(stats, slow_start, now);
    return candidate;
  }

 private:
  /// Incarnation and sequence number of a member record.
  using RecordVersion = std::pair<uint64_t, uint64_t>;
  struct PeerStats {
    uint32_t in_flight = 0;
    uint32_t load_per_mille = 0;
    Time load_reported_at{};
    Duration link_wait{};
    Time link_reported_at{};
    Ejection ejection;
    FailureRate failure_rate;
    /// By route.
    std::map<std::string, ServiceTime> service_times;
    /// Record for which the peer is excluded until `excluded_until`.
    RecordVersion excluded_record;
    Time excluded_until{};
    /// A member record has been seen.
    bool known = false;
    BackendState state = BackendState::kAbsent;
    Time ready_at{};
  };
  /// Age at which a reported wait for a link counts for half of its value.
  static constexpr Duration kLinkHalfLife = 500ms;
  /// Load of a backend server without a free slot is at least this, per mille.
  static constexpr uint32_t kMinBusyLoad = 1'000;
  /// Load assumed after a refusal for lack of slots, per mille.
  static constexpr uint32_t kOverloadedLoad = 2'000;
  /// Limit of the exclusion. The record may have crossed with the refusal on
  /// the way and be right; it is trusted again after this time.
  static constexpr Duration kMaxExclusion = 5s;
  /// Weight of a backend server that has just become ready.
  static constexpr double kInitialWeight = 0.1;

  static RecordVersion RecordVersionOf(const Member& member) {
    return {member.incarnation, member.sequence};
  }
  static ServiceTime& ServiceTimeOf(PeerStats& stats,
                                    const std::string& route) {
    return stats.service_times[route];
  }
  static Duration ExpectedTimeOf(const PeerStats& stats,
                                 const std::string& route, Time now) {
    const auto it = stats.service_times.find(route);
    return it == stats.service_times.end() ? Duration::zero()
                                           : it->second.Expected(now);
  }
  static double SlowStartWeight(const PeerStats& stats, Duration slow_start,
                                Time now) {
    const Duration age = now - stats.ready_at;
    const bool is_warm = stats.ready_at == Time{} || age >= slow_start;
    if (!Rules::kSlowStart || is_warm) return 1.0;
    const double weight = static_cast<double>(age.count()) /
                          static_cast<double>(slow_start.count());
    return std::max(kInitialWeight, weight);
  }

  std::map<Address, PeerStats> peers_;
  TypicalTimes typical_times_;
};

}  // namespace buckthorncart
